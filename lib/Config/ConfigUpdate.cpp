#include "buckthornring/Config/ConfigUpdate.h"

#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

ConfigUpdate::ConfigUpdate(ConfigRecord Record, std::uint64_t BaseVersion)
    : Record(std::move(Record)), BaseVersion(BaseVersion) {}

auto ConfigUpdate::finish(ConfigUpdateOutcome FinalOutcome) -> void {
  Step = ConfigUpdateStep::Done;
  Outcome = FinalOutcome;
}

auto ConfigUpdate::countFailedCall(ConfigUpdateStep Next) -> void {
  if (++FailedCalls < MaxAttempts) {
    Step = Next;
    return;
  }
  finish(MayHaveWritten ? ConfigUpdateOutcome::Unknown
                        : ConfigUpdateOutcome::Unchanged);
}

auto ConfigUpdate::onWritten() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was requested");
  HighestSeenGeneration = std::max(HighestSeenGeneration, Record.generation());
  finish(ConfigUpdateOutcome::Applied);
}

auto ConfigUpdate::onConflict() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was requested");
  // The read finds the competing update, which can be an earlier write of this
  // one.
  Step = ConfigUpdateStep::Read;
}

auto ConfigUpdate::onWriteUnanswered() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was requested");
  MayHaveWritten = true;
  countFailedCall(ConfigUpdateStep::Read);
}

auto ConfigUpdate::onWriteUnsent() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was requested");
  countFailedCall(ConfigUpdateStep::Write);
}

auto ConfigUpdate::onRejected(std::string RejectionReason) -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was requested");
  Reason = std::move(RejectionReason);
  finish(MayHaveWritten ? ConfigUpdateOutcome::Unknown
                        : ConfigUpdateOutcome::Rejected);
}

auto ConfigUpdate::onReadUnanswered() -> void {
  invariant(Step == ConfigUpdateStep::Read, "a read was requested");
  countFailedCall(ConfigUpdateStep::Read);
}

auto ConfigUpdate::onRead(const ConfigRecord *Found, std::uint64_t Version)
    -> void {
  invariant(Step == ConfigUpdateStep::Read, "a read was requested");
  if ((Found == nullptr ? 0 : Version) == BaseVersion) {
    // The object has not changed since. A write that is still in transit has
    // the same condition, so at most one of the writes takes effect.
    if (++UnchangedReads < MaxAttempts)
      Step = ConfigUpdateStep::Write;
    else
      finish(MayHaveWritten ? ConfigUpdateOutcome::Unknown
                            : ConfigUpdateOutcome::Unchanged);
    return;
  }
  if (Found == nullptr) {
    finish(MayHaveWritten ? ConfigUpdateOutcome::Unknown
                          : ConfigUpdateOutcome::Refused);
    return;
  }
  HighestSeenGeneration = std::max(HighestSeenGeneration, Found->generation());
  WinnerGeneration = Found->generation();
  if (Found->hasUpdate(Record.updateId()))
    return finish(ConfigUpdateOutcome::Applied);
  // When the history is too short, a write that never arrived cannot be
  // distinguished from one that later updates have overwritten.
  const bool Certain =
      !MayHaveWritten || Found->reachesBackTo(Record.baseGeneration());
  finish(Certain ? ConfigUpdateOutcome::Refused : ConfigUpdateOutcome::Unknown);
}

} // namespace buckthornring
