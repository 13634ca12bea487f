#include "Gateway/PeerSocket.h"

#include "IO/Endpoint.h"

#include <boost/asio/buffer.hpp>

namespace buckthornring {

using boost::asio::ip::udp;
using boost::system::error_code;

PeerSocket::PeerSocket(boost::asio::io_context &Context, Handler OnMessage)
    : Socket(Context), OnMessage(std::move(OnMessage)) {}

auto PeerSocket::open(boost::asio::io_context &Context,
                      const std::string &Address, Handler OnMessage)
    -> Result<std::unique_ptr<PeerSocket>> {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return Error("\"" + Address + "\" is not an IP address and port");
  std::unique_ptr<PeerSocket> Peer(
      new PeerSocket(Context, std::move(OnMessage)));
  error_code Failure;
  const udp::endpoint Local(Endpoint->address(), Endpoint->port());
  Peer->Socket.open(Local.protocol(), Failure);
  if (!Failure)
    Peer->Socket.bind(Local, Failure);
  if (!Failure)
    Peer->Socket.non_blocking(true, Failure);
  if (Failure)
    return Error("cannot bind " + Address + ": " + Failure.message());
  Peer->receive();
  return Peer;
}

auto PeerSocket::receive() -> void {
  Socket.async_receive_from(
      boost::asio::buffer(Buffer), Sender,
      [this, AliveFlag = Alive](const error_code &Failure, std::size_t Size) {
        if (!*AliveFlag || Failure == boost::asio::error::operation_aborted)
          return;
        if (!Failure) {
          const auto Message = decodeFleetMessage({Buffer.data(), Size});
          if (Message)
            OnMessage(*Message, Sender.address().to_string() + ":" +
                                    std::to_string(Sender.port()));
          else
            ++Malformed;
        }
        receive();
      });
}

auto PeerSocket::sendAll(const std::vector<std::string> &Addresses,
                         const FleetMessage &Message) -> void {
  const std::string Bytes = encodeFleetMessage(Message);
  for (const std::string &Address : Addresses) {
    const auto Endpoint = parseEndpoint(Address);
    if (!Endpoint)
      continue;
    error_code SendError;
    Socket.send_to(boost::asio::buffer(Bytes),
                   udp::endpoint(Endpoint->address(), Endpoint->port()), 0,
                   SendError);
  }
}

} // namespace buckthornring
