#pragma once

#include "IO/MessageHead.h"
#include "buckthornring/Common/Time.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornring {

/// One HTTP/1.1 connection to a target. Carries one exchange at a time.
///
/// All calls come from the thread of the executor; handlers run there too. A
/// write and a read may be outstanding together, since a target may respond
/// before it has read the whole request. After close() no handler runs.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
public:
  using Handler = std::function<void(bool)>;
  /// Success, the bytes read and whether the body is complete.
  using BodyHandler = std::function<void(bool, std::string_view, bool)>;

  explicit UpstreamConnection(const boost::asio::any_io_executor &Executor);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection &) = delete;
  auto operator=(const UpstreamConnection &) -> UpstreamConnection & = delete;

  auto connect(const boost::asio::ip::tcp::endpoint &Peer, Duration Limit,
               Handler Done) -> void;

  /// Starts an exchange. \p HeadOnly says that the request's method is HEAD,
  /// whose response has no body.
  auto beginExchange(bool HeadOnly) -> void;

  /// Writes \p Head and \p Body in one operation. \p Body must stay valid until
  /// the handler runs or the connection is closed.
  auto write(std::string Head, std::string_view Body, Handler Done) -> void;

  /// Reads the final response's head into response(); skips interim (1xx)
  /// responses.
  auto readHead(Handler Done) -> void;
  auto response() -> ResponseHead &;

  /// Whether bytes of the response's body were received together with the head.
  auto bodyBuffered() const -> bool;
  auto responseDone() const -> bool;

  /// Reads more of the response's body. The view is valid until the next read.
  auto readBody(BodyHandler Done) -> void;

  /// Why the last read failed, if what was read is no response; empty if the
  /// connection ended.
  auto fault() const -> const std::string &;

  /// Whether the connection can carry another exchange: it is unused, or the
  /// response is complete and the target keeps the connection open.
  auto keepAlive() const -> bool;

  /// Whether the peer closed the idle connection or sent bytes that belong to
  /// no request; such a connection must not be reused.
  auto brokenWhileIdle() const -> bool;

  auto close() -> void;
  auto open() const -> bool;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace buckthornring
