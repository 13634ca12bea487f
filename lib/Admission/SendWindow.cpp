#include "Admission/SendWindow.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

// The constants below were selected with "bench_measure overload" for 1 to 600
// instances (docs/design/admission.md).

/// Requests per slot at which a window stays as it is: the next requests are
/// there when the running ones end, and a request still reaches its goal behind
/// them.
constexpr double DesiredPerSlot = 1.75;

/// Exponent by which a window changes when a report deviates from that number
/// by all of it.
constexpr double Gain = 0.8;

/// A window is at most halved or doubled by one report.
constexpr double MaxStep = 2;

/// Factor of a window after a rejection. The report that comes with the
/// rejection narrows it as well.
constexpr double RejectionFactor = 0.7;

/// Longest time between a rejection and the report that came with it. Both are
/// processed at once, with two readings of the clock.
constexpr Duration SameResponse = std::chrono::milliseconds(5);

/// Smallest window: the requests are then probes.
constexpr double MinSize = 0.02;

/// Below this size, a request that waits for two periods is sent in fewer than
/// one of ten cases.
constexpr double ClosedSize = 0.05;

/// A window of more requests per slot has no effect: TargetTable sends none to
/// an owner with a longer queue.
constexpr double MaxSizePerSlot = 2.5;

/// Time without reports after which a window below one has doubled: the target
/// may be idle, since no instance sends to it any more.
constexpr double DoublingTimeUs = 500'000;

} // namespace

auto SendWindow::size(TimePoint Now) const -> double {
  if (ResizedAt == LongAgo || Size >= 1)
    return Size;
  const auto Age = static_cast<double>((Now - ResizedAt).count());
  return std::min(1.0, Size * std::exp2(Age / DoublingTimeUs));
}

auto SendWindow::closed(TimePoint Now) const -> bool {
  return size(Now) < ClosedSize;
}

auto SendWindow::resize(double Factor, double MaxSize, TimePoint Now) -> void {
  Size = std::clamp(size(Now) * Factor, MinSize, MaxSize);
  ResizedAt = Now;
}

auto SendWindow::begin(double InitialSize) -> void {
  if (ResizedAt == LongAgo)
    Size = std::max(1.0, InitialSize);
}

auto SendWindow::admits(std::uint32_t InFlight, Duration Period, TimePoint Now)
    -> bool {
  if (Now >= PeriodEnd) {
    // Periods of random length, so that instances do not send in step.
    PeriodEnd =
        Now + Duration(static_cast<std::int64_t>(
                  static_cast<double>(Period.count()) * (0.5 + Random.unit())));
    Threshold = Random.unit();
    SentInPeriod = false;
  }
  const double Present = size(Now);
  if (Present < 1 && SentInPeriod)
    return false;
  return InFlight + Threshold < Present;
}

auto SendWindow::reported(const LoadReport &Report, TimePoint Now) -> void {
  FreeSlotAt = Report.Running + Report.Waiting < Report.Slots ? Now : LongAgo;
  const double Slots = std::max(1U, Report.Slots);
  const double Desired = DesiredPerSlot * Slots;
  const double Excess = (Report.Running + Report.Waiting - Desired) / Desired;
  resize(std::clamp(std::exp(-Gain * Excess), 1 / MaxStep, MaxStep),
         MaxSizePerSlot * Slots, Now);
}

auto SendWindow::rejected(TimePoint Now) -> void {
  if (FreeSlotAt != LongAgo && Now - FreeSlotAt < SameResponse)
    return;
  resize(RejectionFactor, std::max(1.0, Size), Now);
}

} // namespace buckthornring
