#include "buckthornring/IO/HttpClient.h"

#include "HttpExchange.h"

#include <boost/asio/io_context.hpp>

#include <charconv>

namespace buckthornring {

using boost::asio::ip::tcp;

namespace {

auto parseEndpoint(const std::string &Address) -> std::optional<tcp::endpoint> {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  auto Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Port = 0;
  const char *First = Address.data() + Colon + 1;
  const char *Last = Address.data() + Address.size();
  const auto Parsed = std::from_chars(First, Last, Port);
  boost::system::error_code Code;
  const auto Ip = boost::asio::ip::make_address(Host, Code);
  if (Code || First == Last || Parsed.ec != std::errc() || Parsed.ptr != Last ||
      Port == 0)
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

} // namespace

HttpCall::HttpCall(std::weak_ptr<HttpExchange> Exchange)
    : Exchange(std::move(Exchange)) {}

auto HttpCall::cancel() -> void {
  if (const auto Running = Exchange.lock())
    Running->cancel();
}

auto HttpCall::receiving() const -> bool {
  const auto Running = Exchange.lock();
  return Running && Running->receiving();
}

auto HttpClient::create(boost::asio::io_context &Context,
                        const std::string &Address, HttpClientOptions Options)
    -> Result<std::unique_ptr<HttpClient>> {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return Error("not an IP address with a port: \"" + Address + "\"");
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<HttpClientState>(
          Context, std::move(*Endpoint), Address, std::move(Options))));
}

HttpClient::HttpClient(std::shared_ptr<HttpClientState> State)
    : State(std::move(State)) {}

HttpClient::~HttpClient() {
  const auto Exchanges = State->Exchanges;
  for (const auto &Exchange : Exchanges)
    Exchange->cancel();
  State->IdleConnections.clear();
}

auto HttpClient::request(HttpRequest Request, HttpCallOptions Options,
                         Callback OnOutcome) -> HttpCall {
  auto Exchange = std::make_shared<HttpExchange>(
      State, std::move(Request), std::move(Options), std::move(OnOutcome));
  State->Exchanges.insert(Exchange);
  Exchange->start();
  return HttpCall(Exchange);
}

auto HttpClient::address() const -> const std::string & {
  return State->Address;
}

auto HttpClient::idleConnections() const -> std::size_t {
  return State->IdleConnections.size();
}

auto HttpClient::openExchanges() const -> std::size_t {
  return State->Exchanges.size();
}

auto HttpClient::closeIdle() -> void { State->IdleConnections.clear(); }

} // namespace buckthornring
