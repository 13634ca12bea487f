#include "IO/LinkServer.h"

#include <utility>

namespace buckthornring {

namespace ip = boost::asio::ip;

auto LinkServer::listen(boost::asio::io_context &Context,
                        const ip::tcp::endpoint &Address, Handler OnMessage)
    -> Result<std::unique_ptr<LinkServer>> {
  ip::tcp::acceptor Acceptor(Context);
  boost::system::error_code Failure;
  Acceptor.open(Address.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(ip::tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Address, Failure);
  if (!Failure)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error("cannot listen for links on " + Address.address().to_string() +
                 ": " + Failure.message());
  std::unique_ptr<LinkServer> Server(
      new LinkServer(std::move(Acceptor), std::move(OnMessage)));
  Server->acceptNext();
  return Server;
}

LinkServer::LinkServer(ip::tcp::acceptor Acceptor, Handler OnMessage)
    : Acceptor(std::move(Acceptor)), OnMessage(std::move(OnMessage)) {}

LinkServer::~LinkServer() {
  *Alive = false;
  close();
}

auto LinkServer::endpoint() const -> ip::tcp::endpoint {
  boost::system::error_code Ignored;
  return Acceptor.local_endpoint(Ignored);
}

auto LinkServer::close() -> void {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  const auto Open = std::exchange(Sessions, {});
  for (const auto &Session : Open)
    Session->close();
}

auto LinkServer::acceptNext() -> void {
  Acceptor.async_accept(
      [this, AliveFlag = Alive](boost::system::error_code Failure,
                                ip::tcp::socket Socket) {
        if (!*AliveFlag || Failure == boost::asio::error::operation_aborted)
          return;
        if (!Failure)
          startSession(std::move(Socket));
        acceptNext();
      });
}

auto LinkServer::startSession(ip::tcp::socket Socket) -> void {
  // The session's callbacks need the session itself, which exists only after
  // create(); a weak pointer avoids a cycle that would keep it alive.
  auto Self = std::make_shared<std::weak_ptr<LinkSession>>();
  LinkSession::Callbacks Handlers;
  Handlers.OnMessage = [this, AliveFlag = Alive, Self](LinkSession::StreamId Id,
                                                       std::string Message) {
    if (!*AliveFlag)
      return;
    OnMessage(std::move(Message), [Self, Id](std::string Reply) {
      if (const auto Session = Self->lock())
        Session->submitResponse(Id, std::move(Reply));
    });
  };
  Handlers.OnClosed = [this, AliveFlag = Alive, Self] {
    if (*AliveFlag)
      Sessions.erase(Self->lock());
  };
  auto Session = LinkSession::create(
      std::move(Socket), LinkSession::Role::Server, std::move(Handlers));
  if (!Session)
    return;
  *Self = *Session;
  Sessions.insert(*Session);
  (*Session)->start();
}

} // namespace buckthornring
