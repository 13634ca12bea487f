#pragma once

#include "Rollout/Rollout.h"

#include <vector>

namespace buckthornring {

/// One instance's part in a rollout: decides which of its requests may go to
/// the new version, and counts outcomes.
///
/// The instance sends at most floor(share x its requests + its part of the
/// slack) requests to the new version in `compare`, so the sum over all
/// instances is within the exposure bound without messages.
class RolloutShare {
public:
  /// Time without a reply of the leader after which nothing goes to the new
  /// version in `compare`.
  static constexpr Duration ReplyTimeout = std::chrono::seconds(2);

  RolloutShare(std::string To, const RolloutBounds &Bounds,
               const InstanceId &Instance);

  auto to() const -> const std::string & { return To; }
  auto order() const -> std::uint64_t { return Notice.Order; }

  /// The leader's decision. One of an earlier order is ignored; so is one that
  /// would leave `stopped`.
  auto decided(const RolloutNotice &Decision, TimePoint Now) -> void;
  /// A stage that was read from the store. Only `complete` and `stopped` are
  /// used: the rest needs a leader.
  auto recorded(const RolloutNotice &Record) -> void;

  auto stage() const -> RolloutStage { return Notice.Stage; }
  auto period() const -> std::uint32_t { return Notice.Period; }
  auto sharePpm() const -> std::uint32_t { return Notice.SharePpm; }

  /// Whether requests may go to the new version beside the old ones at all.
  auto comparing(TimePoint Now) const -> bool {
    return Notice.Stage == RolloutStage::Compare &&
           Now - DecidedAt < ReplyTimeout;
  }
  /// Whether the next request may go to the new version beside the old ones.
  auto mayCompare(std::uint32_t Instances, TimePoint Now) const -> bool;

  /// Whether a request for a key that a target of the new version owns may be
  /// sent: the key has no other target, so the whole bound is used.
  auto mayServeKey(std::uint32_t Instances, TimePoint Now) const -> bool;

  /// Returns the positions of the targets of the new version that `compare`
  /// uses in this period, the same at all instances. \p Cold tells for each
  /// target whether it is cold: these are used only if all are. As many are
  /// used as the share is of the \p OldTargets, so they get the usual load.
  auto compared(const std::vector<bool> &Cold, std::size_t OldTargets) const
      -> std::vector<std::size_t>;

  /// The first send of a request.
  auto requestSent() -> void { ++Counts.Requests; }
  /// A send to the new version by mayCompare().
  auto sentToNew() -> void { ++Counts.SentToNew; }
  /// Counts the end of a request. A cold target is slow whatever its version,
  /// so its times and time-outs are left out.
  auto ended(const std::string &Version, const std::string &Route,
             const RolloutResult &Result) -> void;

  /// Returns the counts; the caller adds RunningAtOld.
  auto report() const -> RolloutReport;

private:
  auto slackPart(std::uint32_t Instances) const -> double;

  std::string To;
  RolloutBounds Bounds;
  double Position = 0; ///< Of this instance among all, in [0, 1).
  double Selector = 0; ///< The same, independent of Position.
  RolloutNotice Notice;
  TimePoint DecidedAt = LongAgo;
  RolloutReport Counts;
};

} // namespace buckthornring
