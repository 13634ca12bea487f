#include "buckthornring/Limits/AllowanceBorrower.h"

#include <algorithm>

namespace buckthornring {

namespace {

// A holder increments its session with each expired lease. The sessions of the
// share for the next incarnation start above all of these.
constexpr std::uint64_t SessionStep = 1'000'000;

} // namespace

auto AllowanceBorrower::follow(std::uint64_t NewTerm) -> void {
  Term = std::max(Term, NewTerm);
  if (Share)
    Share->follow(Term);
}

auto AllowanceBorrower::onConnected(const std::string &NewStartId,
                                    TimePoint Now) -> void {
  ConnectionUsable = true;
  if (Share && NewStartId == StartId)
    return;
  StartId = NewStartId;
  ++StartNumber;
  Session += SessionStep;
  Share.emplace(Name, ShareKind::Units, Session, Now);
  Share->follow(Term);
}

auto AllowanceBorrower::tryAcquire(TimePoint Now) -> std::optional<Unit> {
  if (!ConnectionUsable || !Share)
    return std::nullopt;
  Share->recordArrival();
  if (!Share->tryAcquire(Now))
    return std::nullopt;
  return StartNumber;
}

auto AllowanceBorrower::release(Unit Acquired) -> void {
  // Requests to an earlier incarnation ended with it.
  if (Share && Acquired == StartNumber)
    Share->release();
}

} // namespace buckthornring
