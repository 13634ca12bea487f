#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace buckthornring {

/// State of a rollout as its status tells it.
enum class RolloutState { None, Running, Succeeded, RolledBack };

inline constexpr EnumNames<RolloutState, 4>
    RolloutStateNames({"none", "running", "succeeded", "rolled-back"});

/// An operator's order to move the traffic of a service to targets of another
/// version within a time.
struct RolloutOrder {
  ServiceId Service;
  std::string To; ///< The version.
  Duration Length{0};
  std::uint64_t Revision = 0; ///< Store revision of the object.
  RolloutState State = RolloutState::None;
  std::string StateOf; ///< Version that the state belongs to.

  /// Whether the status tells the end of this order.
  auto ended() const -> bool {
    return StateOf == To && (State == RolloutState::Succeeded ||
                             State == RolloutState::RolledBack);
  }
};

enum class RolloutStage {
  Hold,     ///< No requests go to the new version.
  Compare,  ///< A limited share of the requests does.
  Complete, ///< All requests do.
  Stopped,  ///< The rollout has been given up.
};

inline constexpr EnumNames<RolloutStage, 4>
    RolloutStageNames({"hold", "compare", "complete", "stopped"});

/// Limits set by the operator of the platform.
struct RolloutBounds {
  /// A bad version gets at most this share of its service's requests.
  double ExposureShare = 0;
  double ExposureSlack = 0; ///< Requests beyond the share.
  /// A bad version gets no request later than this after its 50th bad response.
  Duration RollbackTime = std::chrono::seconds(5);

  auto enabled() const -> bool { return ExposureShare > 0; }
};

/// Counts of response times in buckets whose bounds grow by BucketFactor.
struct TimeCounts {
  static constexpr std::size_t BucketCount = 20;
  static constexpr double BucketFactor = 1.5;
  static constexpr double FirstBoundMs = 4;

  std::array<std::uint32_t, BucketCount> Buckets{};

  auto record(Duration Time) -> void;
};

/// Outcomes of requests that were sent to targets of one version.
struct RolloutOutcomes {
  std::uint32_t Requests = 0; ///< Without those that targets rejected unrun.
  std::uint32_t Failures = 0;
  TimeCounts Times; ///< Of those that did not fail, or by a time-out.

  auto add(const RolloutOutcomes &Other) -> void;
  /// Returns this less \p Earlier, an earlier value of the same counts.
  auto since(const RolloutOutcomes &Earlier) const -> RolloutOutcomes;
};

/// How a request that was sent to a target has ended.
struct RolloutResult {
  /// Nothing: the request failed. With TimedOut a lower bound of the time, or
  /// nothing if too little of the time limit was left for the target.
  std::optional<Duration> Time;
  /// It failed because the time limit of its route or caller had passed.
  bool TimedOut = false;
  bool SentCold = false; ///< The target was cold when the request was sent.
};

/// Outcomes by route.
using OutcomesByRoute = std::map<std::string, RolloutOutcomes>;

/// What one instance reports of a rollout. All counts are sums since the
/// instance has seen the order, so that a lost report changes nothing.
struct RolloutReport {
  std::uint64_t Order = 0; ///< RolloutNotice::Order; 0: none known.
  RolloutStage Stage = RolloutStage::Hold; ///< In force at the instance.
  std::uint32_t Requests = 0;     ///< First sends to targets of the service.
  std::uint32_t SentToNew = 0;    ///< Sends to the new version in `compare`.
  std::uint32_t RunningAtOld = 0; ///< Unanswered requests at other versions.
  OutcomesByRoute Old;
  OutcomesByRoute New;
  /// Time since the instance first saw the order. Older builds report none.
  std::optional<Duration> Age;
  /// Latest revision of the order that the instance has read.
  std::uint64_t SeenRevision = 0;
};

/// The leader's decision on a rollout, for all instances.
struct RolloutNotice {
  std::uint64_t Order = 0; ///< Revision at which the order was first seen.
  std::string To;
  RolloutStage Stage = RolloutStage::Hold;
  std::uint32_t SharePpm = 0; ///< Of the requests; in `compare` only.
  /// Number of the period for which the same targets of the new version are
  /// used.
  std::uint32_t Period = 0;

  friend auto operator==(const RolloutNotice &, const RolloutNotice &)
      -> bool = default;
};

} // namespace buckthornring
