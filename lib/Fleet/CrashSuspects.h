#pragma once

#include "buckthornring/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornring {

/// What instances tell each other of requests that may crash their targets.
/// Holds ages instead of times, since clocks differ.
struct SuspectNotice {
  struct Suspect {
    std::uint64_t Request = 0; ///< CrashSuspects::fingerprint().
    /// Incarnations of targets that ended while they ran it, with the time
    /// since, in ms; also those before its completion.
    std::map<std::uint64_t, std::uint32_t> CrashAgesMs;
    /// Time since a target has completed it, in ms.
    std::optional<std::uint32_t> CompletedAgeMs;

    /// Whether a crash of that age is later than the completion.
    auto counts(std::uint32_t CrashAgeMs) const -> bool {
      return !CompletedAgeMs || CrashAgeMs < *CompletedAgeMs;
    }
  };
  std::vector<Suspect> Suspects;
};

/// Requests that were running on targets that crashed, as known to this
/// instance.
///
/// A request that comes again and crashes target after target is quarantined.
/// Requests that only ran beside it are accused too; their completion elsewhere
/// clears them. Merging notices is idempotent and independent of their order.
class CrashSuspects {
public:
  enum class Verdict {
    Clear,
    Suspected,   ///< At least one target crashed while it ran it.
    Quarantined, ///< Not to be sent to any target.
  };

  /// What this instance has observed.
  enum class Change { Accused, Completed };
  using ChangeHandler = std::function<void(Change)>;

  /// Crashes of different incarnations after which a request is quarantined.
  static constexpr std::size_t QuarantineCrashes = 3;
  /// Time after the latest crash at which a quarantine ends. A single further
  /// crash then begins the next one.
  static constexpr Duration QuarantinePeriod = std::chrono::minutes(5);
  /// Time after which a crash is forgotten.
  static constexpr Duration RetentionPeriod = 2 * QuarantinePeriod;
  static constexpr std::size_t MaxSuspects = 4096;
  /// Crashes that are kept of one request: the latest.
  static constexpr std::size_t MaxCrashes = 8;

  /// Identifies a request that comes again. \p CallerKey is empty on open
  /// routes.
  static auto fingerprint(std::string_view Method, std::string_view Path,
                          std::string_view CallerKey, std::string_view Body)
      -> std::uint64_t;
  /// The same for a body in parts.
  static auto fingerprint(std::string_view Method, std::string_view Path,
                          std::string_view CallerKey,
                          const std::vector<std::string_view> &Body)
      -> std::uint64_t;
  /// Returns the fingerprint as log lines name it.
  static auto fingerprintText(std::uint64_t Request) -> std::string;
  /// Identifies an incarnation of a target, by its id, start and address.
  static auto incarnation(std::string_view Target, std::int64_t StartedAtMs,
                          std::string_view Address) -> std::uint64_t;

  /// Sets what is called after accuse() or completed() have changed the table.
  auto setChangeHandler(ChangeHandler Handler) -> void {
    OnChanged = std::move(Handler);
  }

  /// A target's incarnation ended while it ran the request. Returns whether
  /// this was not known.
  auto accuse(std::uint64_t Request, std::uint64_t Incarnation, TimePoint Now)
      -> bool;
  /// A target has completed the request. Returns whether that has cleared the
  /// request of a crash.
  auto completed(std::uint64_t Request, TimePoint Now) -> bool;
  auto verdict(std::uint64_t Request, TimePoint Now) const -> Verdict;
  /// Returns the number of targets that crashed while they ran the request,
  /// since its last completion.
  auto crashes(std::uint64_t Request, TimePoint Now) const -> std::size_t;
  /// Returns the time until the quarantine of the request ends, or zero.
  auto quarantineRest(std::uint64_t Request, TimePoint Now) const -> Duration;

  /// Adds what another instance knows. Returns whether anything was new.
  auto merge(const SuspectNotice &Notice, TimePoint Now) -> bool;
  /// Returns the suspects that have changed since the last call, by accuse(),
  /// completed() or merge().
  auto takeChanges(TimePoint Now) -> SuspectNotice;
  /// Returns the requests of a notice with crashes that a completion known here
  /// has cleared, but not to the sender. Where the delay of messages has made
  /// the sender take the crash for the later one, the completion counts as the
  /// later one from now on.
  auto completionsMissingIn(const SuspectNotice &Told, TimePoint Now)
      -> SuspectNotice;
  /// Returns the most accused requests, at most \p Limit.
  auto active(std::size_t Limit, TimePoint Now) const -> SuspectNotice;

  /// Forgets old crashes.
  auto expire(TimePoint Now) -> void;
  auto size() const -> std::size_t { return Suspects.size(); }

private:
  struct Suspect {
    /// By incarnation. Those before the completion are kept, since a delayed
    /// notice would make them look later.
    std::map<std::uint64_t, TimePoint> Crashes;
    TimePoint CompletedAt = LongAgo;
    bool Changed = false;

    auto counts(TimePoint CrashedAt, TimePoint Now) const -> bool;
    auto crashCount(TimePoint Now) const -> std::size_t;
    auto latestCrash() const -> TimePoint;
    /// Whether the crash of a notice is known to be before the completion.
    auto cleared(std::uint64_t Incarnation, TimePoint CrashedAt) const -> bool;
    auto add(std::uint64_t Incarnation, TimePoint CrashedAt) -> bool;
  };

  auto find(std::uint64_t Request) const -> const Suspect *;
  auto mergeOne(const SuspectNotice::Suspect &Told, TimePoint Now) -> bool;
  static auto notice(std::uint64_t Request, const Suspect &Known, TimePoint Now)
      -> SuspectNotice::Suspect;
  /// Keeps the table within its limit: the least accused requests go first.
  auto makeRoom(TimePoint Now) -> void;

  std::unordered_map<std::uint64_t, Suspect> Suspects;
  ChangeHandler OnChanged = [](Change) {};
};

} // namespace buckthornring
