#include "Entry/LocalShareGiver.h"

#include "Entry/RateGate.h"

#include <cmath>

namespace buckthornring {

namespace {

auto milli(double Value) -> MilliUnits {
  return static_cast<MilliUnits>(std::floor(Value * OneUnit));
}

} // namespace

auto LocalShareGiver::setConfiguration(const Configuration &Config,
                                       TimePoint Now) -> void {
  ShareLedger::Options Options;
  Options.Kind = ShareKind::Rate;
  // The process has just started, so no earlier grant of it is in force.
  Options.NeverLent = true;
  for (const auto &[Name, Workspace] : Config.Workspaces) {
    const ShareAmount Total = {milli(Workspace.RatePerSecond),
                               milli(Workspace.Burst)};
    const auto [Place, Inserted] =
        Ledgers.try_emplace(rateQuantity(Name), Options, Total, Term, Now);
    if (!Inserted)
      Place->second.setTotal(Total, Now);
  }
}

auto LocalShareGiver::handle(std::size_t Thread, const std::string &Quantity,
                             const ShareRequest &Request, TimePoint Now)
    -> void {
  const auto Place = Ledgers.find(Quantity);
  if (Place == Ledgers.end())
    return;
  if (const auto Grant = Place->second.handle(Request, Now))
    Reply(Thread, Quantity, *Grant);
}

auto LocalShareGiver::expire(TimePoint Now) -> void {
  for (auto &[Name, Ledger] : Ledgers)
    Ledger.expire(Now);
}

} // namespace buckthornring
