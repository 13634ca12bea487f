#include "buckthornring/Limits/AllowanceBorrower.h"

#include <algorithm>

namespace buckthornring {

namespace {

// A holder raises its session with each expired lease; a share for another
// start begins above all of them.
constexpr std::uint64_t SessionStep = 1'000'000;

} // namespace

auto AllowanceTaker::follow(std::uint64_t NewTerm) -> void {
  Term = std::max(Term, NewTerm);
  if (Share)
    Share->follow(Term);
}

auto AllowanceTaker::connected(const std::string &Read, TimePoint Now) -> void {
  Usable = true;
  if (Share && Read == StartId)
    return;
  StartId = Read;
  ++Start;
  Session += SessionStep;
  Share.emplace(Name, ShareKind::Units, Session, Now);
  Share->follow(Term);
}

auto AllowanceTaker::tryAcquire(TimePoint Now) -> std::optional<Unit> {
  if (!Usable || !Share)
    return std::nullopt;
  Share->recordArrival();
  if (!Share->tryAcquire(Now))
    return std::nullopt;
  return Start;
}

auto AllowanceTaker::release(Unit Acquired) -> void {
  // Requests of an earlier start ended with it.
  if (Share && Acquired == Start)
    Share->release();
}

} // namespace buckthornring
