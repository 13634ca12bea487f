#include "IO/Endpoint.h"

#include <charconv>

namespace buckthornring {

namespace asio = boost::asio;

auto parseEndpoint(const std::string &Address)
    -> std::optional<asio::ip::tcp::endpoint> {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Port = 0;
  const char *PortBegin = Address.data() + Colon + 1;
  const char *PortEnd = Address.data() + Address.size();
  const auto [End, ParseFailure] = std::from_chars(PortBegin, PortEnd, Port);
  boost::system::error_code Failure;
  const auto Ip = asio::ip::make_address(Host, Failure);
  if (Failure || ParseFailure != std::errc() || End != PortEnd)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Port);
}

auto endpointText(const asio::ip::tcp::endpoint &Endpoint) -> std::string {
  const std::string Host = Endpoint.address().to_string();
  const std::string Port = std::to_string(Endpoint.port());
  return Endpoint.address().is_v6() ? "[" + Host + "]:" + Port
                                    : Host + ":" + Port;
}

} // namespace buckthornring
