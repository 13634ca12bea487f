#include "buckthornring/IO/HttpServer.h"

#include "HttpSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <sys/socket.h>

namespace buckthornring {

using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace {

// After a failed accept, for example without free file descriptors, an
// immediate retry would fail as well.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);

auto bindListener(tcp::acceptor &Acceptor, const HttpServerOptions &Options)
    -> error_code {
  error_code Code;
  const auto Address = boost::asio::ip::make_address(Options.Address, Code);
  if (Code)
    return Code;
  const tcp::endpoint Endpoint(Address, Options.Port);
  Acceptor.open(Endpoint.protocol(), Code);
  if (Code)
    return Code;
  Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  const int Enabled = 1;
  if (Options.ReusePort &&
      ::setsockopt(Acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &Enabled,
                   sizeof(Enabled)) != 0)
    return {errno, boost::system::system_category()};
  Acceptor.bind(Endpoint, Code);
  if (!Code)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, Code);
  return Code;
}

} // namespace

HttpServerState::HttpServerState(boost::asio::io_context &Context,
                                 HttpServerOptions Options,
                                 HttpServer::Handler OnRequest)
    : Acceptor(Context), RetryTimer(Context), DrainTimer(Context),
      Options(std::move(Options)), OnRequest(std::move(OnRequest)) {}

auto HttpServerState::accept() -> void {
  Acceptor.async_accept(
      [Self = shared_from_this()](error_code Code, tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (Code) {
          Self->RetryTimer.expires_after(AcceptRetryDelay);
          Self->RetryTimer.async_wait([Self](error_code Cancelled) {
            if (!Cancelled && Self->Acceptor.is_open())
              Self->accept();
          });
          return;
        }
        Self->startSession(std::move(Socket));
        Self->accept();
      });
}

auto HttpServerState::makeRoom() -> bool {
  if (Sessions.size() < Options.MaxConnections)
    return true;
  std::shared_ptr<HttpSession> Oldest;
  for (const auto &Session : Sessions)
    if (Session->unused() && (!Oldest || Session->number() < Oldest->number()))
      Oldest = Session;
  if (Oldest)
    Oldest->close();
  return Oldest != nullptr;
}

auto HttpServerState::startSession(tcp::socket Socket) -> void {
  if (!makeRoom())
    return;
  auto Session =
      std::make_shared<HttpSession>(std::move(Socket), shared_from_this());
  Sessions.insert(Session);
  std::optional<Duration> Delay = Duration::zero();
  if (Options.OnConnect)
    Delay = Options.OnConnect(Sessions.size());
  if (Delay.has_value())
    Session->start(*Delay);
  else
    Session->close();
}

// Closing the listener would reset the connections in its accept queue, so they
// are accepted first.
auto HttpServerState::drain() -> void {
  error_code Code;
  Draining = true;
  Acceptor.cancel(Code);
  Acceptor.non_blocking(true, Code);
  while (!Code) {
    tcp::socket Socket(Acceptor.get_executor());
    Acceptor.accept(Socket, Code);
    if (!Code)
      startSession(std::move(Socket));
  }
  Acceptor.close(Code);
  RetryTimer.cancel();
  DrainTimer.expires_after(Options.DrainGracePeriod);
  DrainTimer.async_wait([Self = shared_from_this()](error_code Cancelled) {
    if (Cancelled)
      return;
    const auto Open = Self->Sessions;
    for (const auto &Session : Open)
      Session->closeWhenIdle();
  });
  checkDrained();
}

auto HttpServerState::remove(const std::shared_ptr<HttpSession> &Session)
    -> void {
  Sessions.erase(Session);
  checkDrained();
}

auto HttpServerState::checkDrained() -> void {
  if (!Draining || !Sessions.empty() || !OnDrained)
    return;
  boost::asio::post(Acceptor.get_executor(), std::move(OnDrained));
  OnDrained = nullptr;
}

auto HttpServer::start(boost::asio::io_context &Context,
                       HttpServerOptions Options, Handler OnRequest)
    -> Result<std::unique_ptr<HttpServer>> {
  auto State = std::make_shared<HttpServerState>(Context, std::move(Options),
                                                 std::move(OnRequest));
  if (const auto Code = bindListener(State->Acceptor, State->Options))
    return Error("cannot listen on " + State->Options.Address + ":" +
                 std::to_string(State->Options.Port) + ": " + Code.message());
  State->Port = State->Acceptor.local_endpoint().port();
  State->accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(State)));
}

auto HttpServer::errorResponse(HttpProtocolError Error) -> HttpResponse {
  HttpResponse Response;
  Response.Status = 400;
  if (Error == HttpProtocolError::TooSlow)
    Response.Status = 408;
  else if (Error != HttpProtocolError::Malformed)
    Response.Status = 413;
  return Response;
}

HttpServer::HttpServer(std::shared_ptr<HttpServerState> State)
    : State(std::move(State)) {}

HttpServer::~HttpServer() {
  error_code Ignored;
  State->OnDrained = nullptr;
  State->Acceptor.close(Ignored);
  State->RetryTimer.cancel();
  State->DrainTimer.cancel();
  closeConnections();
  State->OnRequest = nullptr;
}

auto HttpServer::port() const -> std::uint16_t { return State->Port; }

auto HttpServer::openConnections() const -> std::size_t {
  return State->Sessions.size();
}

auto HttpServer::drain(std::function<void()> OnDrained) -> void {
  State->OnDrained = std::move(OnDrained);
  State->drain();
}

auto HttpServer::closeConnections() -> void {
  const auto Sessions = State->Sessions;
  for (const auto &Session : Sessions)
    Session->close();
}

auto HttpServer::silenceConnections() -> void {
  const auto Sessions = State->Sessions;
  for (const auto &Session : Sessions)
    Session->silence();
}

} // namespace buckthornring
