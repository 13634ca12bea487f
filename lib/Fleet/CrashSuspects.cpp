#include "Fleet/CrashSuspects.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

namespace buckthornring {

namespace {

/// Ages grow by the delay of each notice, so a time that returns from another
/// instance is a little later than the one that was sent.
constexpr Duration NoticeDelay = std::chrono::milliseconds(500);

auto hash(std::string_view Text, std::uint64_t Seed) -> std::uint64_t {
  return XXH64(Text.data(), Text.size(), Seed);
}

auto ageMs(TimePoint Since, TimePoint Now) -> std::uint32_t {
  const auto Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Since);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

auto timeOf(std::uint32_t AgeMs, TimePoint Now) -> TimePoint {
  return Now - std::chrono::milliseconds(AgeMs);
}

} // namespace

auto CrashSuspects::fingerprint(std::string_view Method, std::string_view Path,
                                std::string_view CallerKey,
                                std::string_view Body) -> std::uint64_t {
  return hash(Body, hash(CallerKey, hash(Path, hash(Method, 0))));
}

auto CrashSuspects::fingerprint(std::string_view Method, std::string_view Path,
                                std::string_view CallerKey,
                                const std::vector<std::string_view> &Body)
    -> std::uint64_t {
  const std::uint64_t Seed = hash(CallerKey, hash(Path, hash(Method, 0)));
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> State(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(State.get(), Seed);
  for (const std::string_view Part : Body)
    XXH64_update(State.get(), Part.data(), Part.size());
  return XXH64_digest(State.get());
}

auto CrashSuspects::fingerprintText(std::uint64_t Request) -> std::string {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIx64, Request);
  return Text.data();
}

auto CrashSuspects::incarnation(std::string_view Target,
                                std::int64_t StartedAtMs,
                                std::string_view Address) -> std::uint64_t {
  return hash(Address, hash(std::to_string(StartedAtMs), hash(Target, 0)));
}

auto CrashSuspects::Suspect::counts(TimePoint CrashedAt, TimePoint Now) const
    -> bool {
  return CrashedAt > CompletedAt && Now - CrashedAt < RetentionPeriod;
}

auto CrashSuspects::Suspect::crashCount(TimePoint Now) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Crashes.begin(), Crashes.end(), [&](const auto &Crash) {
        return counts(Crash.second, Now);
      }));
}

auto CrashSuspects::Suspect::latestCrash() const -> TimePoint {
  TimePoint Latest = LongAgo;
  for (const auto &[Incarnation, CrashedAt] : Crashes)
    Latest = std::max(Latest, CrashedAt);
  return Latest;
}

auto CrashSuspects::Suspect::cleared(std::uint64_t Incarnation,
                                     TimePoint CrashedAt) const -> bool {
  const auto Known = Crashes.find(Incarnation);
  return CrashedAt <= CompletedAt ||
         (Known != Crashes.end() && Known->second <= CompletedAt);
}

auto CrashSuspects::Suspect::add(std::uint64_t Incarnation, TimePoint CrashedAt)
    -> bool {
  if (Crashes.contains(Incarnation))
    return false;
  if (Crashes.size() >= MaxCrashes) {
    const auto Oldest =
        std::min_element(Crashes.begin(), Crashes.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         });
    if (CrashedAt <= Oldest->second + NoticeDelay)
      return false;
    Crashes.erase(Oldest);
  }
  Crashes.emplace(Incarnation, CrashedAt);
  return true;
}

auto CrashSuspects::find(std::uint64_t Request) const -> const Suspect * {
  const auto Found = Suspects.find(Request);
  return Found == Suspects.end() ? nullptr : &Found->second;
}

auto CrashSuspects::accuse(std::uint64_t Request, std::uint64_t Incarnation,
                           TimePoint Now) -> bool {
  Suspect &Accused = Suspects[Request];
  if (!Accused.add(Incarnation, Now))
    return false;
  Accused.Changed = true;
  makeRoom(Now);
  OnChanged(Change::Accused);
  return true;
}

auto CrashSuspects::completed(std::uint64_t Request, TimePoint Now) -> bool {
  if (crashes(Request, Now) == 0)
    return false;
  Suspect &Cleared = Suspects[Request];
  Cleared.CompletedAt = Now;
  Cleared.Changed = true;
  OnChanged(Change::Completed);
  return true;
}

auto CrashSuspects::verdict(std::uint64_t Request, TimePoint Now) const
    -> Verdict {
  if (crashes(Request, Now) == 0)
    return Verdict::Clear;
  return quarantineRest(Request, Now) > Duration(0) ? Verdict::Quarantined
                                                    : Verdict::Suspected;
}

auto CrashSuspects::crashes(std::uint64_t Request, TimePoint Now) const
    -> std::size_t {
  const Suspect *Known = find(Request);
  return Known ? Known->crashCount(Now) : 0;
}

auto CrashSuspects::quarantineRest(std::uint64_t Request, TimePoint Now) const
    -> Duration {
  const Suspect *Known = find(Request);
  if (!Known || Known->crashCount(Now) < QuarantineCrashes)
    return Duration(0);
  return std::max(Duration(0), Known->latestCrash() + QuarantinePeriod - Now);
}

auto CrashSuspects::mergeOne(const SuspectNotice::Suspect &Told, TimePoint Now)
    -> bool {
  const bool Known = Suspects.contains(Told.Request);
  Suspect Merged = Known ? Suspects[Told.Request] : Suspect();
  bool New = false;
  if (Told.CompletedAgeMs) {
    const TimePoint At = timeOf(*Told.CompletedAgeMs, Now);
    const bool Clears = std::any_of(
        Merged.Crashes.begin(), Merged.Crashes.end(), [&](const auto &Crash) {
          return Merged.counts(Crash.second, Now) && Crash.second <= At;
        });
    if (Clears || At > Merged.CompletedAt + NoticeDelay) {
      Merged.CompletedAt = At;
      New = true;
    }
  }
  for (const auto &[Incarnation, AgeMs] : Told.CrashAgesMs)
    if (std::chrono::milliseconds(AgeMs) < RetentionPeriod)
      New |= Merged.add(Incarnation, timeOf(AgeMs, Now));
  if (!New)
    return false;
  Merged.Changed = true;
  Suspects[Told.Request] = std::move(Merged);
  return true;
}

auto CrashSuspects::merge(const SuspectNotice &Notice, TimePoint Now) -> bool {
  bool New = false;
  for (const SuspectNotice::Suspect &Told : Notice.Suspects)
    New |= mergeOne(Told, Now);
  if (New)
    makeRoom(Now);
  return New;
}

auto CrashSuspects::completionsMissingIn(const SuspectNotice &Told,
                                         TimePoint Now) -> SuspectNotice {
  SuspectNotice Out;
  for (const SuspectNotice::Suspect &Item : Told.Suspects) {
    const auto Found = Suspects.find(Item.Request);
    if (Found == Suspects.end())
      continue;
    TimePoint ClearedUntil = LongAgo;
    for (const auto &[Incarnation, AgeMs] : Item.CrashAgesMs)
      if (Item.counts(AgeMs) &&
          Found->second.cleared(Incarnation, timeOf(AgeMs, Now)))
        ClearedUntil = std::max(ClearedUntil, timeOf(AgeMs, Now));
    if (ClearedUntil == LongAgo)
      continue;
    Found->second.CompletedAt =
        std::max(Found->second.CompletedAt, ClearedUntil);
    Out.Suspects.push_back(notice(Item.Request, Found->second, Now));
  }
  return Out;
}

auto CrashSuspects::notice(std::uint64_t Request, const Suspect &Known,
                           TimePoint Now) -> SuspectNotice::Suspect {
  SuspectNotice::Suspect Out;
  Out.Request = Request;
  for (const auto &[Incarnation, CrashedAt] : Known.Crashes)
    if (Now - CrashedAt < RetentionPeriod)
      Out.CrashAgesMs.emplace(Incarnation, ageMs(CrashedAt, Now));
  if (Known.CompletedAt != LongAgo)
    Out.CompletedAgeMs = ageMs(Known.CompletedAt, Now);
  return Out;
}

auto CrashSuspects::takeChanges(TimePoint Now) -> SuspectNotice {
  SuspectNotice Out;
  for (auto &[Request, Known] : Suspects)
    if (std::exchange(Known.Changed, false))
      Out.Suspects.push_back(notice(Request, Known, Now));
  return Out;
}

auto CrashSuspects::active(std::size_t Limit, TimePoint Now) const
    -> SuspectNotice {
  std::vector<std::pair<std::size_t, std::uint64_t>> Ranks;
  for (const auto &[Request, Known] : Suspects)
    if (const std::size_t Count = Known.crashCount(Now); Count > 0)
      Ranks.emplace_back(Count, Request);
  std::sort(Ranks.begin(), Ranks.end(), std::greater<>());
  if (Ranks.size() > Limit)
    Ranks.resize(Limit);
  SuspectNotice Out;
  for (const auto &[Count, Request] : Ranks)
    Out.Suspects.push_back(notice(Request, Suspects.at(Request), Now));
  return Out;
}

auto CrashSuspects::expire(TimePoint Now) -> void {
  std::erase_if(Suspects, [Now](const auto &Entry) {
    const Suspect &Known = Entry.second;
    return Known.crashCount(Now) == 0 &&
           Now - Known.CompletedAt >= RetentionPeriod;
  });
}

auto CrashSuspects::makeRoom(TimePoint Now) -> void {
  if (Suspects.size() <= MaxSuspects)
    return;
  expire(Now);
  using Rank = std::tuple<std::size_t, TimePoint, std::uint64_t>;
  std::vector<Rank> Ranks;
  for (const auto &[Request, Known] : Suspects)
    Ranks.emplace_back(Known.crashCount(Now),
                       std::max(Known.latestCrash(), Known.CompletedAt),
                       Request);
  // An eighth at once, so that a flood of suspects does not sort the table for
  // each of them.
  const std::size_t Kept = MaxSuspects - MaxSuspects / 8;
  std::sort(Ranks.begin(), Ranks.end());
  for (std::size_t Index = 0; Index + Kept < Ranks.size(); ++Index)
    Suspects.erase(std::get<2>(Ranks[Index]));
}

} // namespace buckthornring
