#include "Hedge/HedgePlanner.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Share of requests that become due for a hedge, in multiples of the share
/// that may be hedged: some of those due find no room. With 1, 1.6 instead
/// of 1.7 in 100 requests were hedged in virtual time; with 2, the slowest
/// requests found the allowance spent.
constexpr double DueFactor = 1.25;

/// Tolerance of the room at the other target, in requests. The queue is an
/// estimate that includes an average of other instances' requests, so it is
/// rarely a whole number.
constexpr double RoomTolerance = 0.5;

} // namespace

auto HedgePlanner::requestSeen(const ServiceId &Service) -> void {
  Allowances[Service].requestSeen(Limits);
}

auto HedgePlanner::attemptEnded(const HedgeRequest &Request, Duration Time,
                                TimePoint Now) -> void {
  Total.TargetTime += Time;
  Allowances[Request.Service].attemptEnded(Limits, Time);
  if (Request.Repeatable && !Limits.off())
    Times[{Request.Route, Request.Service}].record(Time, Now);
}

auto HedgePlanner::excluded(const HedgeRequest &Request) const -> HedgeVerdict {
  if (!Request.Repeatable)
    return HedgeVerdict::NotRepeatable;
  if (Limits.off())
    return HedgeVerdict::SwitchedOff;
  if (!Request.AttemptsLeft)
    return HedgeVerdict::AttemptsSpent;
  return Request.Suspected ? HedgeVerdict::Suspected : HedgeVerdict::Sent;
}

auto HedgePlanner::delay(const HedgeRequest &Request, TimePoint Now)
    -> std::optional<Duration> {
  if (excluded(Request) != HedgeVerdict::Sent)
    return std::nullopt;
  const auto Known = Times.find({Request.Route, Request.Service});
  const double Due = std::min(1.0, DueFactor * Limits.ExtraRequests);
  const auto Delay = Known == Times.end()
                         ? std::nullopt
                         : Known->second.quantile(1 - Due, Now);
  if (!Delay)
    count(HedgeVerdict::NoSamples);
  return Delay;
}

auto HedgePlanner::judge(const HedgeRequest &Request, const HedgeTarget &Target,
                         RetryAllowance &Retries, TimePoint Now)
    -> HedgeVerdict {
  const HedgeVerdict Excluded = excluded(Request);
  if (Excluded != HedgeVerdict::Sent)
    return Excluded;
  const auto Known = Times.find({Request.Route, Request.Service});
  if (Known == Times.end() || Known->second.expired(Now))
    return HedgeVerdict::NoSamples;
  if (!Target.Found)
    return HedgeVerdict::NoTarget;
  if (Target.RequestsWaiting || Target.Queue + 1 > Target.Slots + RoomTolerance)
    return HedgeVerdict::NoRoom;
  if (Now + Target.Expected > Request.Deadline)
    return HedgeVerdict::TooLate;
  const HedgeAllowance &Allowance = Allowances[Request.Service];
  if (!Allowance.hasRequest())
    return HedgeVerdict::RequestLimit;
  if (!Allowance.hasTime(Target.Expected))
    return HedgeVerdict::TimeLimit;
  return Retries.tryTakeOptional(Now) ? HedgeVerdict::Sent
                                      : HedgeVerdict::RetryLimit;
}

auto HedgePlanner::decide(const HedgeRequest &Request,
                          const HedgeTarget &Target, RetryAllowance &Retries,
                          TimePoint Now) -> HedgeVerdict {
  const HedgeVerdict Verdict = judge(Request, Target, Retries, Now);
  if (Verdict == HedgeVerdict::Sent)
    Allowances[Request.Service].take(Target.Expected);
  return count(Verdict);
}

auto HedgePlanner::hedgeEnded(const ServiceId &Service, Duration Expected,
                              Duration Ran, bool Won) -> void {
  ++(Won ? Total.Won : Total.Lost);
  Total.ExtraTime += Ran;
  Allowances[Service].settle(Expected, Ran);
}

auto HedgePlanner::expire(TimePoint Now) -> void {
  std::erase_if(Times,
                [Now](const auto &Entry) { return Entry.second.expired(Now); });
}

auto HedgePlanner::count(HedgeVerdict Verdict) -> HedgeVerdict {
  ++Total.Verdicts.at(static_cast<std::size_t>(Verdict));
  return Verdict;
}

} // namespace buckthornring
