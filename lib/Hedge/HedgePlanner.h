#pragma once

#include "Fleet/RetryAllowance.h"
#include "Hedge/HedgeAllowance.h"
#include "Hedge/RecentTimes.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace buckthornring {

/// Whether a hedge is sent, or why not.
enum class HedgeVerdict {
  Sent,
  SwitchedOff,   ///< A limit is 0.
  NotRepeatable, ///< Not idempotent, or only the owner of a key may run it.
  AttemptsSpent, ///< The route's maximum attempts.
  Suspected,     ///< Targets have crashed while they ran it.
  NoSamples,     ///< Too few recent times of this route and service.
  NoTarget,      ///< No other target takes the request.
  NoRoom,        ///< The other target, or the service, has no free slot.
  TooLate,       ///< The response would come after the deadline.
  RequestLimit,  ///< HedgeLimits::ExtraRequests.
  TimeLimit,     ///< HedgeLimits::ExtraTime.
  RetryLimit,    ///< The service's retry limit.
};

inline constexpr EnumNames<HedgeVerdict, 12> HedgeVerdictNames(
    {"sent", "switched-off", "not-repeatable", "attempts-spent", "suspected",
     "no-samples", "no-target", "no-room", "too-late", "request-limit",
     "time-limit", "retry-limit"});

/// A request that may be hedged.
struct HedgeRequest {
  std::string Route; ///< Host and path prefix.
  ServiceId Service;
  bool Repeatable = false; ///< Idempotent, and the service is not divided.
  bool AttemptsLeft = false;
  bool Suspected = false;
  TimePoint Deadline;
};

/// The other target, as selected for the hedge.
struct HedgeTarget {
  bool Found = false;
  double Queue = 0; ///< Estimated requests at the target.
  std::uint32_t Slots = 1;
  Duration Expected{0};         ///< Until its response.
  bool RequestsWaiting = false; ///< Other requests wait for a target.
};

/// Decides whether and when a slow request is sent to a second target.
///
/// A request is hedged once its attempt has lasted longer than a quantile of
/// the recent times of its route and service. The quantile follows from the
/// limit on extra requests, so that the slowest requests use the whole limit.
class HedgePlanner {
public:
  /// Numbers of decisions since the start of the process.
  struct Counts {
    /// By verdict. NoSamples also counts requests that were not timed.
    std::array<std::uint64_t, HedgeVerdictNames.size()> Verdicts{};
    std::uint64_t Won = 0;  ///< The hedge answered the caller.
    std::uint64_t Lost = 0; ///< It did not.
    Duration ExtraTime{0};  ///< Time that hedges ran.
    Duration TargetTime{0}; ///< Time that other attempts ran.

    auto of(HedgeVerdict Verdict) const -> std::uint64_t {
      return Verdicts.at(static_cast<std::size_t>(Verdict));
    }
  };

  explicit HedgePlanner(const HedgeLimits &Limits) : Limits(Limits) {}
  HedgePlanner() : HedgePlanner(HedgeLimits()) {}

  auto setLimits(const HedgeLimits &Changed) -> void { Limits = Changed; }

  auto requestSeen(const ServiceId &Service) -> void;

  /// An attempt that is no hedge has ended after \p Time. One that was given up
  /// counts with the time that it had lasted, if that is at least the delay of
  /// its hedge; this does not change the quantile.
  auto attemptEnded(const HedgeRequest &Request, Duration Time, TimePoint Now)
      -> void;

  /// Returns how long after its send a request is hedged, or nothing if it is
  /// not to be.
  auto delay(const HedgeRequest &Request, TimePoint Now)
      -> std::optional<Duration>;

  /// To be called when the delay has passed. Takes one hedge from the limits
  /// and returns Sent if the hedge is to be sent.
  auto decide(const HedgeRequest &Request, const HedgeTarget &Target,
              RetryAllowance &Retries, TimePoint Now) -> HedgeVerdict;

  /// A hedge ended after \p Ran. \p Expected is that of its HedgeTarget.
  auto hedgeEnded(const ServiceId &Service, Duration Expected, Duration Ran,
                  bool Won) -> void;

  /// Forgets routes without recent samples.
  auto expire(TimePoint Now) -> void;

  auto counts() const -> const Counts & { return Total; }

private:
  using RouteKey = std::pair<std::string, ServiceId>;

  /// Why the request is not hedged wherever it is sent, or Sent.
  auto excluded(const HedgeRequest &Request) const -> HedgeVerdict;
  auto judge(const HedgeRequest &Request, const HedgeTarget &Target,
             RetryAllowance &Retries, TimePoint Now) -> HedgeVerdict;
  auto count(HedgeVerdict Verdict) -> HedgeVerdict;

  HedgeLimits Limits;
  std::map<RouteKey, RecentTimes> Times;
  std::unordered_map<ServiceId, HedgeAllowance> Allowances;
  Counts Total;
};

} // namespace buckthornring
