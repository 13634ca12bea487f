#include "buckthornring/Config/ConfigUpdate.h"

#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

ConfigUpdate::ConfigUpdate(ConfigRecord Record, std::uint64_t BaseVersion)
    : Record(std::move(Record)), BaseVersion(BaseVersion) {}

auto ConfigUpdate::finish(ConfigUpdateOutcome How) -> void {
  Step = ConfigUpdateStep::Done;
  Outcome = How;
}

auto ConfigUpdate::countLost(ConfigUpdateStep Next) -> void {
  if (++Lost < MaxLost) {
    Step = Next;
    return;
  }
  finish(MayHaveWritten ? ConfigUpdateOutcome::Unknown
                        : ConfigUpdateOutcome::Unchanged);
}

auto ConfigUpdate::onWritten() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was asked for");
  Seen = std::max(Seen, Record.generation());
  finish(ConfigUpdateOutcome::Applied);
}

auto ConfigUpdate::onConflict() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was asked for");
  // The read names the winner, which can be an earlier write of this update.
  Step = ConfigUpdateStep::Read;
}

auto ConfigUpdate::onWriteLost() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was asked for");
  MayHaveWritten = true;
  countLost(ConfigUpdateStep::Read);
}

auto ConfigUpdate::onWriteUnsent() -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was asked for");
  countLost(ConfigUpdateStep::Write);
}

auto ConfigUpdate::onRejected(std::string Why) -> void {
  invariant(Step == ConfigUpdateStep::Write, "a write was asked for");
  Reason = std::move(Why);
  finish(MayHaveWritten ? ConfigUpdateOutcome::Unknown
                        : ConfigUpdateOutcome::Rejected);
}

auto ConfigUpdate::onReadLost() -> void {
  invariant(Step == ConfigUpdateStep::Read, "a read was asked for");
  countLost(ConfigUpdateStep::Read);
}

auto ConfigUpdate::onRead(const ConfigRecord *Found, std::uint64_t Version)
    -> void {
  invariant(Step == ConfigUpdateStep::Read, "a read was asked for");
  if ((Found == nullptr ? 0 : Version) == BaseVersion) {
    // Nobody has written since. A write still on its way carries the same
    // condition, so at most one of them takes effect.
    if (++Repeats < MaxLost)
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
  Seen = std::max(Seen, Found->generation());
  Winner = Found->generation();
  if (Found->hasUpdate(Record.updateId()))
    return finish(ConfigUpdateOutcome::Applied);
  // When the history does not reach back, a lost write cannot be told from one
  // that was overwritten long ago.
  const bool Certain =
      !MayHaveWritten || Found->reachesBackTo(Record.baseGeneration());
  finish(Certain ? ConfigUpdateOutcome::Refused : ConfigUpdateOutcome::Unknown);
}

} // namespace buckthornring
