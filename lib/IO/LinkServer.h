#pragma once

#include "IO/LinkSession.h"
#include "buckthornring/Common/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace buckthornring {

/// Accepts links from other instances and replies to their messages.
///
/// Runs on one thread: the thread that runs the io_context.
class LinkServer {
public:
  /// Sends the reply to one message; does nothing if the link is closed.
  using ReplyFunction = std::function<void(std::string)>;
  using Handler = std::function<void(std::string Message, ReplyFunction Reply)>;

  /// Listens on an IP address; port 0 lets the kernel choose a free port. Fails
  /// with the system's error if the address cannot be bound.
  static auto listen(boost::asio::io_context &Context,
                     const boost::asio::ip::tcp::endpoint &Address,
                     Handler OnMessage) -> Result<std::unique_ptr<LinkServer>>;

  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  auto operator=(const LinkServer &) -> LinkServer & = delete;

  auto endpoint() const -> boost::asio::ip::tcp::endpoint;

  /// Stops accepting and closes all links.
  auto close() -> void;

private:
  LinkServer(boost::asio::ip::tcp::acceptor Acceptor, Handler OnMessage);

  auto acceptNext() -> void;
  auto startSession(boost::asio::ip::tcp::socket Socket) -> void;

  boost::asio::ip::tcp::acceptor Acceptor;
  Handler OnMessage;
  std::set<std::shared_ptr<LinkSession>> Sessions;
  // Shared with callbacks that may run after the server is destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
