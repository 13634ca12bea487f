#pragma once

#include "Fleet/FleetMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring {

/// UDP messages between the instances. Messages may be lost; each is complete
/// in itself and is replaced by a later one of its kind.
class PeerSocket {
public:
  using Handler =
      std::function<void(const FleetMessage &, const std::string &From)>;

  /// Opens a socket bound to \p Address, an IP address and port.
  static auto open(boost::asio::io_context &Context, const std::string &Address,
                   Handler OnMessage) -> Result<std::unique_ptr<PeerSocket>>;

  ~PeerSocket() { *Alive = false; }
  PeerSocket(const PeerSocket &) = delete;
  auto operator=(const PeerSocket &) -> PeerSocket & = delete;

  /// Sends without blocking; a message that the kernel refuses is lost.
  auto send(const std::string &Address, const FleetMessage &Message) -> void {
    sendAll({Address}, Message);
  }
  auto sendAll(const std::vector<std::string> &Addresses,
               const FleetMessage &Message) -> void;

  /// Number of datagrams received that could not be decoded.
  auto malformed() const -> std::uint64_t { return Malformed; }

private:
  static constexpr std::size_t MaxDatagramSize = 65'536;

  PeerSocket(boost::asio::io_context &Context, Handler OnMessage);
  auto receive() -> void;

  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  Handler OnMessage;
  std::array<char, MaxDatagramSize> Buffer{};
  std::uint64_t Malformed = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
