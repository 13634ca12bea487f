#pragma once

#include "Fleet/TargetRecord.h"
#include "buckthornring/Common/Random.h"

#include <cstdint>

namespace buckthornring {

/// Decides how many requests one instance may have at one target, of which the
/// other instances use a part that it does not know.
///
/// The window is a real number. From one on, it is the number of requests that
/// may be in flight. Below one, it is the probability that the instance may
/// send one request in a period of about one processing time. This needs no
/// knowledge of the number of instances: under an overload of the target by a
/// factor, the instances together have to send the same part of their requests,
/// however many they are.
///
/// Reports of the target with few requests widen the window; long queues and
/// rejections narrow it. All instances that hear the reports come to similar
/// windows.
class SendWindow {
public:
  explicit SendWindow(std::uint64_t Seed) : Random(Seed) {}

  /// Sets the window if no report or rejection has set it yet. It is never set
  /// to less than one request.
  auto begin(double InitialSize) -> void;

  /// Whether one more request may be sent beside \p InFlight of this instance.
  /// \p Period is the present processing time of the target.
  auto admits(std::uint32_t InFlight, Duration Period, TimePoint Now) -> bool;

  /// Time at which a request that was not admitted may be the next time, if no
  /// response arrives before.
  auto nextAt() const -> TimePoint { return PeriodEnd; }

  auto sent() -> void { SentInPeriod = true; }
  /// A load report of the target, received by this or by another instance.
  auto reported(const LoadReport &Report, TimePoint Now) -> void;
  /// The target rejected a request of this instance. If its report of the same
  /// time shows a free slot, the cause is not a full queue, and the window
  /// stays as it is.
  auto rejected(TimePoint Now) -> void;

  /// Whether admits() was called before.
  auto used() const -> bool { return PeriodEnd != LongAgo; }

  /// The present window, in requests.
  auto size(TimePoint Now) const -> double;

  /// Whether the target rejects nearly all requests, so that those which are
  /// not admitted at once need not wait. Probes are still admitted.
  auto closed(TimePoint Now) const -> bool;

private:
  auto resize(double Factor, double MaxSize, TimePoint Now) -> void;

  RandomSource Random;
  double Size = 1; ///< At ResizedAt.
  TimePoint ResizedAt = LongAgo;
  TimePoint FreeSlotAt = LongAgo; ///< Of the last report that showed one.
  TimePoint PeriodEnd = LongAgo;
  double Threshold = 0; ///< Uniform in [0, 1), drawn for each period.
  bool SentInPeriod = false;
};

} // namespace buckthornring
