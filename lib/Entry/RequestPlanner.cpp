#include "Entry/RequestPlanner.h"

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <xxhash.h>

namespace buckthornring {

namespace {

/// The top bits of the key's hash.
auto sliceOf(std::string_view Key, std::uint32_t Slices) -> std::uint32_t {
  const int Bits = std::countr_zero(Slices);
  const std::uint64_t Hash = XXH64(Key.data(), Key.size(), 0);
  return Bits == 0 ? 0 : static_cast<std::uint32_t>(Hash >> (64 - Bits));
}

constexpr std::string_view BearerScheme = "bearer ";

auto startsWithIgnoringCase(std::string_view Text, std::string_view Prefix)
    -> bool {
  return Text.size() >= Prefix.size() &&
         sameHeaderName(Text.substr(0, Prefix.size()), Prefix);
}

auto isBearer(std::string_view Authorization) -> bool {
  return startsWithIgnoringCase(Authorization, BearerScheme);
}

/// The caller key of a request. Two different keys in one request are
/// ambiguous and count as none.
auto callerKey(const HttpHeaders &Fields) -> std::string_view {
  std::string_view Key;
  for (const auto &[Name, Value] : Fields) {
    std::string_view Candidate;
    if (sameHeaderName(Name, "X-Caller-Key"))
      Candidate = Value;
    else if (sameHeaderName(Name, "Authorization") && isBearer(Value))
      Candidate = std::string_view(Value).substr(BearerScheme.size());
    else
      continue;
    if (!Key.empty() && Candidate != Key)
      return {};
    Key = Candidate;
  }
  return Key;
}

auto hexValue(char C) -> int {
  if (C >= '0' && C <= '9')
    return C - '0';
  const char Lower = static_cast<char>(C | 0x20);
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

/// Decodes percent escapes, so that all spellings of a key reach one owner.
/// Returns nothing for an invalid escape.
auto decoded(std::string_view Text, bool PlusIsSpace)
    -> std::optional<std::string> {
  std::string Out;
  Out.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '+' && PlusIsSpace) {
      Out.push_back(' ');
      continue;
    }
    if (Text[Index] != '%') {
      Out.push_back(Text[Index]);
      continue;
    }
    if (Index + 2 >= Text.size())
      return std::nullopt;
    const int High = hexValue(Text[Index + 1]);
    const int Low = hexValue(Text[Index + 2]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Out.push_back(static_cast<char>(High * 16 + Low));
    Index += 2;
  }
  return Out;
}

/// Calls \p Visit with each part between separators until it returns true.
template <class Visitor>
auto anyPart(std::string_view Text, char Separator, Visitor Visit) -> bool {
  while (true) {
    const std::size_t End = std::min(Text.find(Separator), Text.size());
    if (Visit(Text.substr(0, End)))
      return true;
    if (End == Text.size())
      return false;
    Text.remove_prefix(End + 1);
  }
}

/// Whether a target might resolve the path to another one than it was matched
/// by, and so escape its route: dot segments, invalid escapes, escaped
/// separators.
auto isAmbiguousPath(std::string_view Path) -> bool {
  return anyPart(Path, '/', [](std::string_view Segment) {
    const auto Text = decoded(Segment, false);
    return !Text || *Text == "." || *Text == ".." ||
           Text->find_first_of("/\\") != std::string::npos ||
           Text->find('\0') != std::string::npos;
  });
}

struct KeyRequest {
  const RouteConfig &Route;
  std::string_view Path;
  std::string_view Query;
  const HttpHeaders &Fields;
};

auto keyInPath(const KeyRequest &Request) -> std::optional<std::string> {
  std::string_view Rest = Request.Path.substr(Request.Route.PathPrefix.size());
  if (Rest.starts_with('/'))
    Rest.remove_prefix(1);
  std::optional<std::string> Key;
  std::uint32_t Index = 0;
  anyPart(Rest, '/', [&](std::string_view Segment) {
    if (Index++ != Request.Route.KeySegment)
      return false;
    Key = decoded(Segment, false);
    return true;
  });
  return Key;
}

auto keyInHeader(const KeyRequest &Request) -> std::optional<std::string> {
  std::optional<std::string> Key;
  for (const auto &[Name, Value] : Request.Fields) {
    if (!sameHeaderName(Name, Request.Route.KeyName))
      continue;
    // The target might read another one of two values than the router.
    if (Key)
      return std::nullopt;
    Key = Value;
  }
  return Key;
}

auto keyInQuery(const KeyRequest &Request) -> std::optional<std::string> {
  std::optional<std::string> Key;
  bool Repeated = false;
  anyPart(Request.Query, '&', [&](std::string_view Pair) {
    const std::size_t Equals = std::min(Pair.find('='), Pair.size());
    if (decoded(Pair.substr(0, Equals), true) != Request.Route.KeyName)
      return false;
    Repeated = Key.has_value();
    Key = decoded(Pair.substr(std::min(Equals + 1, Pair.size())), true);
    return Repeated;
  });
  return Repeated ? std::nullopt : Key;
}

/// Indexed by KeySource.
constexpr std::array<std::optional<std::string> (*)(const KeyRequest &), 3>
    KeyReaders = {keyInPath, keyInHeader, keyInQuery};

auto isIdempotentMethod(std::string_view Method) -> bool {
  constexpr std::array<std::string_view, 5> Methods = {"GET", "HEAD", "PUT",
                                                       "DELETE", "OPTIONS"};
  return std::find(Methods.begin(), Methods.end(), Method) != Methods.end();
}

/// The service's default deadline, which the caller can lower. Nothing for an
/// invalid value.
auto deadlineOf(const ServiceConfig &Service, const HttpHeaders &Fields)
    -> std::optional<Duration> {
  const Duration Limit = std::min(Service.DefaultDeadline, Service.MaxDeadline);
  const auto Text = Fields.find("Btr-Deadline-Ms");
  if (!Text)
    return Limit;
  std::uint32_t Milliseconds = 0;
  const auto [End, Failure] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Milliseconds);
  if (Failure != std::errc() || End != Text->data() + Text->size() ||
      Milliseconds == 0)
    return std::nullopt;
  return std::min<Duration>(Limit, std::chrono::milliseconds(Milliseconds));
}

/// Finds the workspace of the caller key and stores both in \p Plan.
auto identifyCaller(const RoutingSnapshot &Snapshot, const RequestHead &Head,
                    RequestPlan &Plan) -> std::optional<RefusalReason> {
  if (Snapshot.Stale)
    return RefusalReason::StaleConfiguration;
  const KeyDigest Digest = CallerKeys::digest(callerKey(Head.Fields));
  const CallerKeys::Entry *Entry = Snapshot.Keys.find(Digest);
  if (!Entry)
    return RefusalReason::UnknownCallerKey;
  if (Entry->Withdrawn)
    return RefusalReason::WithdrawnCallerKey;
  Plan.Workspace = Entry->Workspace;
  Plan.Caller = Digest;
  return std::nullopt;
}

} // namespace

auto isWithheldFromTarget(const HttpHeaders::Field &Field,
                          std::string_view Connection) -> bool {
  return sameHeaderName(Field.first, "X-Caller-Key") ||
         (sameHeaderName(Field.first, "Authorization") &&
          isBearer(Field.second)) ||
         startsWithIgnoringCase(Field.first, "btr-") ||
         isHopByHop(Field.first, Connection);
}

auto planRequest(const RoutingSnapshot &Snapshot, const RequestHead &Head)
    -> std::variant<RequestPlan, RefusalReason> {
  const std::string_view Target = Head.Target;
  const std::size_t PathEnd = std::min(Target.find('?'), Target.size());
  const std::string_view Path = Target.substr(0, PathEnd);
  if (!Path.starts_with('/') || isAmbiguousPath(Path))
    return RefusalReason::MalformedRequest;
  const RouteConfig *Route = Snapshot.Routes.match(Path);
  if (!Route)
    return RefusalReason::UnknownRoute;

  RequestPlan Plan;
  if (!Route->Open)
    if (const auto Refusal = identifyCaller(Snapshot, Head, Plan))
      return *Refusal;
  const auto Service = Snapshot.Services.find(Route->Service);
  if (Service == Snapshot.Services.end())
    return RefusalReason::UnknownRoute;
  const ServiceConfig &Config = *Service->second.Config;
  Plan.Service = Route->Service;
  Plan.Idempotent = Route->Idempotent.value_or(isIdempotentMethod(Head.Method));
  const auto Deadline = deadlineOf(Config, Head.Fields);
  if (!Deadline)
    return RefusalReason::MalformedRequest;
  Plan.Deadline = *Deadline;
  if (Config.Kind == ServiceKind::Undivided)
    return Plan;

  const std::string_view Query =
      Target.substr(std::min(PathEnd + 1, Target.size()));
  const auto Key = KeyReaders.at(static_cast<std::size_t>(Route->Source))(
      {*Route, Path, Query, Head.Fields});
  if (!Key || Key->empty())
    return RefusalReason::MissingKey;
  Plan.Divided = true;
  Plan.Slice = sliceOf(*Key, Config.Slices);
  return Plan;
}

} // namespace buckthornring
