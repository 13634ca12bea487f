#include "IO/MessageHead.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace buckthornring {

namespace {

auto trimmed(std::string_view Text) -> std::string_view {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

auto listContains(std::string_view List, std::string_view Token) -> bool {
  while (!List.empty()) {
    const std::size_t Comma = std::min(List.find(','), List.size());
    if (sameHeaderName(trimmed(List.substr(0, Comma)), Token))
      return true;
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
  return false;
}

constexpr std::array<std::string_view, 10> HopByHopNames = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
};

} // namespace

auto connectionOptions(const HttpHeaders &Fields) -> std::string {
  std::string Options;
  for (const auto &[Name, Value] : Fields)
    if (sameHeaderName(Name, "Connection"))
      Options.append(Value).append(",");
  return Options;
}

auto isHopByHop(std::string_view Name, std::string_view Connection) -> bool {
  for (std::string_view HopByHop : HopByHopNames)
    if (sameHeaderName(Name, HopByHop))
      return true;
  return listContains(Connection, Name);
}

auto appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) -> void {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

auto appendFraming(std::string &Out, const BodyFraming &Framing) -> void {
  if (Framing.Length)
    appendField(Out, "Content-Length", std::to_string(*Framing.Length));
  else
    appendField(Out, "Transfer-Encoding", "chunked");
}

auto appendChunk(std::string &Out, std::string_view Data) -> void {
  if (Data.empty())
    return;
  std::array<char, 24> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Data.size());
  Out.append(Size.data()).append(Data).append("\r\n");
}

} // namespace buckthornring
