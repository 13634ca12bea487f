#include "Config/AddressText.h"

#include <arpa/inet.h>

#include <charconv>

namespace buckthornring {

namespace {

auto isHost(const std::string &Text) -> bool {
  in6_addr Buffer{};
  if (Text.size() > 2 && Text.front() == '[' && Text.back() == ']')
    return inet_pton(AF_INET6, Text.substr(1, Text.size() - 2).c_str(),
                     &Buffer) == 1;
  return inet_pton(AF_INET, Text.c_str(), &Buffer) == 1;
}

} // namespace

auto isAddress(const std::string &Text, std::uint32_t MinPort) -> bool {
  const auto Colon = Text.rfind(':');
  // inet_pton stops at the first NUL, so a text that contains one is rejected.
  if (Colon == std::string::npos || Text.find('\0') != std::string::npos)
    return false;
  std::uint32_t Port = 0;
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  const auto [End, Failure] = std::from_chars(First, Last, Port);
  if (Failure != std::errc() || End != Last || Port < MinPort || Port > 65535)
    return false;
  return isHost(Text.substr(0, Colon));
}

} // namespace buckthornring
