#include "buckthornring/Limits/AllowanceLender.h"

#include <utility>

namespace buckthornring {

AllowanceLender::AllowanceLender(Options Settings, std::uint64_t Term,
                                 TimePoint TermStartedAt)
    : Settings(Settings), Term(Term), TermStartedAt(TermStartedAt),
      Ramp(Settings.Ramp, TermStartedAt) {}

auto AllowanceLender::setAuthorityEnd(TimePoint Until) -> void {
  AuthorityEnd = Until;
  for (auto &[StartId, Ledger] : Ledgers)
    Ledger.setAuthorityEnd(Until);
}

auto AllowanceLender::units(TimePoint Now) const -> ShareAmount {
  const std::uint32_t Count =
      Ramp.cold(Now) ? Ramp.allowance(Now) : Settings.WarmUnits;
  return {0, static_cast<MilliUnits>(Count) * OneUnit};
}

auto AllowanceLender::handle(const std::string &StartId,
                             const ShareRequest &Request, TimePoint Now)
    -> std::optional<ShareGrant> {
  // Only the leader's polls are in order. A thread's message may name an
  // earlier incarnation, and switching back to it would discard what is lent
  // for the current one.
  if (StartId != Ramp.startId()) {
    PollNeeded = true;
    return std::nullopt;
  }
  ShareLedger::Options LedgerOptions;
  LedgerOptions.Kind = ShareKind::Units;
  LedgerOptions.MaxUseDuration = Settings.MaxUseDuration;
  LedgerOptions.LeasePeriod = Settings.LeasePeriod;
  const auto [Position, Added] = Ledgers.try_emplace(
      StartId, LedgerOptions, ShareAmount(), Term, TermStartedAt);
  if (Added) {
    Position->second.setAuthorityEnd(AuthorityEnd);
    std::erase_if(Ledgers,
                  [&](const auto &Entry) { return Entry.first != StartId; });
  }
  Position->second.setTotal(units(Now), Now);
  return Position->second.handle(Request, Now);
}

auto AllowanceLender::takePollNeeded() -> bool {
  return std::exchange(PollNeeded, false);
}

auto AllowanceLender::advance(TimePoint Now) -> void {
  for (auto &[StartId, Ledger] : Ledgers) {
    Ledger.setTotal(units(Now), Now);
    Ledger.expire(Now);
  }
}

} // namespace buckthornring
