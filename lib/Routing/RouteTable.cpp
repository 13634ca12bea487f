#include "buckthornring/Routing/RouteTable.h"

#include <algorithm>
#include <charconv>

namespace buckthornring {

namespace {

auto matchesPrefix(std::string_view Prefix, std::string_view Path) -> bool {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/';
}

auto percentDecode(std::string_view Text) -> std::optional<std::string> {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Decoded.push_back(Text[I]);
      continue;
    }
    unsigned char Byte = 0;
    const std::string_view Digits = Text.substr(I + 1, 2);
    const char *End = Digits.data() + Digits.size();
    const auto Parsed = std::from_chars(Digits.data(), End, Byte, 16);
    if (Digits.size() != 2 || Parsed.ec != std::errc() || Parsed.ptr != End)
      return std::nullopt;
    Decoded.push_back(static_cast<char>(Byte));
    I += 2;
  }
  return Decoded;
}

auto pathSegment(std::string_view Path, std::uint32_t Index)
    -> std::optional<std::string_view> {
  while (true) {
    if (Path.starts_with('/'))
      Path.remove_prefix(1);
    const std::size_t End = Path.find('/');
    if (Index == 0)
      return Path.substr(0, End);
    if (End == std::string_view::npos)
      return std::nullopt;
    Path.remove_prefix(End);
    --Index;
  }
}

auto queryParameter(std::string_view Query, std::string_view Name)
    -> std::optional<std::string_view> {
  while (!Query.empty()) {
    const std::size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name && Equals != std::string_view::npos)
      return Pair.substr(Equals + 1);
    if (End == std::string_view::npos)
      return std::nullopt;
    Query.remove_prefix(End + 1);
  }
  return std::nullopt;
}

auto nonEmpty(std::optional<std::string> Key) -> std::optional<std::string> {
  return Key && !Key->empty() ? std::move(Key) : std::nullopt;
}

} // namespace

RouteTable::RouteTable(const Configuration &Config) {
  for (const auto &[Name, Route] : Config.Routes)
    ByHost[Route.Host].push_back(&Route);
  for (auto &[Host, Routes] : ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const RouteConfig *First, const RouteConfig *Second) {
                       return First->PathPrefix.size() >
                              Second->PathPrefix.size();
                     });
}

auto RouteTable::match(std::string_view Path, std::string_view Host) const
    -> const RouteConfig * {
  for (const std::string &Name : {std::string(Host), std::string()}) {
    const auto Found = ByHost.find(Name);
    if (Found == ByHost.end())
      continue;
    for (const RouteConfig *Route : Found->second)
      if (matchesPrefix(Route->PathPrefix, Path))
        return Route;
  }
  return nullptr;
}

auto RouteTable::extractKey(const RouteConfig &Route, std::string_view Target,
                            const HeaderLookup &Header)
    -> std::optional<std::string> {
  const std::size_t QueryMark = Target.find('?');
  const std::string_view Path = Target.substr(0, QueryMark);
  std::optional<std::string_view> Raw;
  switch (Route.Source) {
  case KeySource::Header:
    Raw = Header(Route.KeyName);
    return nonEmpty(Raw ? std::optional(std::string(*Raw)) : std::nullopt);
  case KeySource::Query:
    if (QueryMark != std::string_view::npos)
      Raw = queryParameter(Target.substr(QueryMark + 1), Route.KeyName);
    break;
  case KeySource::PathSegment:
    if (Path.starts_with(Route.PathPrefix))
      Raw = pathSegment(Path.substr(Route.PathPrefix.size()), Route.KeySegment);
    break;
  }
  return nonEmpty(Raw ? percentDecode(*Raw) : std::nullopt);
}

} // namespace buckthornring
