#pragma once

#include "Entry/RoutingSnapshot.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Routing/ColdStartRamp.h"
#include "buckthornring/Routing/Ejector.h"
#include "buckthornring/Routing/LatencyTracker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace buckthornring {

/// What one traffic thread has observed of the targets.
class TargetStats {
public:
  /// How an attempt ended, seen from its target.
  enum class End {
    Answered,
    Refused, ///< With Btr-Refusal: the target works.
    Failed,  ///< Lost connection or missed deadline.
    Unused,  ///< Nothing was learnt: superseded, caller gone, not sent.
  };

  auto setSnapshot(const RoutingSnapshot &Snapshot) -> void;

  /// Counts a request at \p Target. Returns its number.
  auto started(const ServiceId &Service, const TargetId &Target, TimePoint Now)
      -> std::uint64_t;
  /// \p Latency is the time from the sending to the answer's head.
  auto ended(std::uint64_t Number, End How, std::optional<Duration> Latency,
             TimePoint Now) -> void;

  /// Ejects and returns targets. Call every 100 ms. Returns how many targets
  /// are ejected now.
  auto evaluate(TimePoint Now) -> std::size_t;

  auto inFlight(const ServiceId &Service, const TargetId &Target) const
      -> std::uint32_t;
  auto latency(const ServiceId &Service, const TargetId &Target) const
      -> std::optional<Duration>;
  /// A high quantile of the service's latency, or nothing.
  auto latencyP95(const ServiceId &Service) const -> std::optional<Duration>;
  auto ejected(const ServiceId &Service, const TargetId &Target) const -> bool;
  /// Slots that may be used of a target that returns from an ejection; no
  /// limit for others.
  auto allowance(const ServiceId &Service, const TargetId &Target) const
      -> std::uint32_t;

private:
  struct Running {
    ServiceId Service;
    TargetId Target;
    TimePoint Since;
  };
  struct TargetState {
    std::uint32_t InFlight = 0;
    LatencyTracker Latency;
    std::optional<ColdStartRamp> Return;
    std::uint32_t Allowance = UINT32_MAX;
  };
  struct ServiceState {
    Ejector Ejection;
    LatencyTracker Latency;
    ColdStartRamp::Options Ramp;
    std::map<TargetId, TargetState> Targets;
  };

  static auto updateReturn(TargetState &Target, TimePoint Now) -> void;
  auto find(const ServiceId &Service, const TargetId &Target) const
      -> const TargetState *;

  std::map<ServiceId, ServiceState> Services;
  std::unordered_map<std::uint64_t, Running> Requests;
  std::uint64_t LastNumber = 0;
};

} // namespace buckthornring
