#include "Entry/RequestPlanner.h"

#include "buckthornring/Ownership/SliceMap.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace buckthornring {

namespace {

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

/// Decodes percent escapes. Returns nothing for an invalid one.
auto decoded(std::string_view Text) -> std::optional<std::string> {
  std::string Out;
  Out.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
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
    const auto Text = decoded(Segment);
    return !Text || *Text == "." || *Text == ".." ||
           Text->find_first_of("/\\") != std::string::npos ||
           Text->find('\0') != std::string::npos;
  });
}

/// Whether the key's header or query parameter occurs more than once. The
/// target might read another one of the values than the router.
auto isRepeatedKey(const RouteConfig &Route, std::string_view Query,
                   const HttpHeaders &Fields) -> bool {
  std::size_t Count = 0;
  if (Route.Source == KeySource::Header)
    for (const auto &[Name, Value] : Fields)
      Count += sameHeaderName(Name, Route.KeyName) ? 1 : 0;
  if (Route.Source == KeySource::Query)
    anyPart(Query, '&', [&](std::string_view Pair) {
      Count += decoded(Pair.substr(0, Pair.find('='))) == Route.KeyName ? 1 : 0;
      return false;
    });
  return Count > 1;
}

/// Returns the slice of the request's key, or nothing without a usable key.
auto sliceOf(const RouteConfig &Route, const ServiceConfig &Service,
             const RequestHead &Head) -> std::optional<std::uint32_t> {
  const std::string_view Target = Head.Target;
  const std::size_t PathEnd = std::min(Target.find('?'), Target.size());
  const auto Query = Target.substr(std::min(PathEnd + 1, Target.size()));
  if (isRepeatedKey(Route, Query, Head.Fields))
    return std::nullopt;
  const auto Key =
      RouteTable::extractKey(Route, Target, [&Head](std::string_view Name) {
        return Head.Fields.find(Name);
      });
  if (!Key)
    return std::nullopt;
  return SliceMap::sliceOf(*Key, Service.Slices);
}

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
  const KeyDigest Digest = CallerKeys::digest(callerKey(Head.Fields));
  const CallerKeys::Entry *Entry = Snapshot.Index->Keys.find(Digest);
  // A key that is not known may be newer than a stale configuration, so the
  // refusal must not say that the key is wrong.
  if (!Entry)
    return Snapshot.Stale.empty() ? RefusalReason::UnknownCallerKey
                                  : RefusalReason::StaleConfiguration;
  if (Entry->Withdrawn)
    return RefusalReason::WithdrawnCallerKey;
  if (Snapshot.Stale.contains(Entry->Workspace))
    return RefusalReason::StaleConfiguration;
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
         isWithheldFromRelay(Field, Connection);
}

auto isWithheldFromRelay(const HttpHeaders::Field &Field,
                         std::string_view Connection) -> bool {
  return startsWithIgnoringCase(Field.first, "btr-") ||
         isHopByHop(Field.first, Connection);
}

auto planRequest(const RoutingSnapshot &Snapshot, const RequestHead &Head)
    -> std::variant<RequestPlan, RefusalReason> {
  const std::string_view Target = Head.Target;
  const std::size_t PathEnd = std::min(Target.find('?'), Target.size());
  const std::string_view Path = Target.substr(0, PathEnd);
  if (!Path.starts_with('/') || isAmbiguousPath(Path))
    return RefusalReason::MalformedRequest;
  const RouteConfig *Route = Snapshot.Index->Routes.match(Path);
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
  // A caller that sets the field itself only gives up being relayed.
  Plan.Relayed = Head.Fields.contains("Btr-Relayed");
  Plan.Idempotent = Route->Idempotent.value_or(isIdempotentMethod(Head.Method));
  const auto Deadline = deadlineOf(Config, Head.Fields);
  if (!Deadline)
    return RefusalReason::MalformedRequest;
  Plan.Deadline = *Deadline;
  if (Config.Kind == ServiceKind::Undivided)
    return Plan;

  const auto Slice = sliceOf(*Route, Config, Head);
  if (!Slice)
    return RefusalReason::MissingKey;
  Plan.Divided = true;
  Plan.Slice = *Slice;
  return Plan;
}

} // namespace buckthornring
