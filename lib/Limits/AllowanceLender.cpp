#include "buckthornring/Limits/AllowanceLender.h"

#include <utility>

namespace buckthornring {

AllowanceGiver::AllowanceGiver(Options Settings, std::uint64_t Term,
                               TimePoint TermBegan)
    : Settings(Settings), Term(Term), TermBegan(TermBegan),
      Ramp(Settings.Ramp, TermBegan) {}

auto AllowanceGiver::setAuthorityEnd(TimePoint Until) -> void {
  Authority = Until;
  for (auto &[StartId, Ledger] : Ledgers)
    Ledger.setAuthorityEnd(Until);
}

auto AllowanceGiver::units(TimePoint Now) const -> ShareAmount {
  const std::uint32_t Count =
      Ramp.cold(Now) ? Ramp.allowance(Now) : Settings.WarmUnits;
  return {0, static_cast<MilliUnits>(Count) * OneUnit};
}

auto AllowanceGiver::handle(const std::string &StartId,
                            const ShareRequest &Request, TimePoint Now)
    -> std::optional<ShareGrant> {
  // Only the leader's polls are in order; a thread's message may be about an
  // earlier start, and going back to it would forget what is lent for this one.
  if (StartId != Ramp.startId()) {
    PollWanted = true;
    return std::nullopt;
  }
  ShareLedger::Options Ledger;
  Ledger.Kind = ShareKind::Units;
  Ledger.UseTail = Settings.UseTail;
  Ledger.LeasePeriod = Settings.LeasePeriod;
  const auto [Place, Added] =
      Ledgers.try_emplace(StartId, Ledger, ShareAmount(), Term, TermBegan);
  if (Added) {
    Place->second.setAuthorityEnd(Authority);
    std::erase_if(Ledgers,
                  [&](const auto &Entry) { return Entry.first != StartId; });
  }
  Place->second.setTotal(units(Now), Now);
  return Place->second.handle(Request, Now);
}

auto AllowanceGiver::takePollWanted() -> bool {
  return std::exchange(PollWanted, false);
}

auto AllowanceGiver::advance(TimePoint Now) -> void {
  for (auto &[StartId, Ledger] : Ledgers) {
    Ledger.setTotal(units(Now), Now);
    Ledger.expire(Now);
  }
}

} // namespace buckthornring
