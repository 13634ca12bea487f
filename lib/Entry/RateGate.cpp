#include "Entry/RateGate.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace buckthornring {

auto rateQuantity(const WorkspaceId &Workspace) -> std::string {
  return "rate/" + Workspace.str();
}

RateGate::RateGate(Options Settings, ShareChannel *Channel)
    : Settings(std::move(Settings)), Channel(Channel) {}

auto RateGate::setSnapshot(const RoutingSnapshot &Snapshot, TimePoint Now)
    -> void {
  if (!Channel)
    return;
  const auto &Configured = Snapshot.config().Workspaces;
  for (const auto &[Name, Config] : Configured) {
    const auto Place = Lanes.find(Name);
    if (Place != Lanes.end()) {
      Place->second.Limit = Config.QueueLimit;
      continue;
    }
    // The start time rises over restarts of the instance.
    const auto Session =
        static_cast<std::uint64_t>(Now.time_since_epoch().count());
    ShareHolder Share(Settings.HolderName, ShareKind::Rate, Session, Now);
    if (Term != 0)
      Share.follow(Term);
    Lanes.emplace(Name, Lane{std::move(Share), Config.QueueLimit, {}});
  }
  std::vector<Handler> Dropped;
  for (auto Place = Lanes.begin(); Place != Lanes.end();) {
    if (Configured.contains(Place->first)) {
      ++Place;
      continue;
    }
    for (Waiter &Each : Place->second.Waiting)
      Dropped.push_back(std::move(Each.Done));
    Place = Lanes.erase(Place);
  }
  for (const Handler &Done : Dropped)
    Done(false);
}

auto RateGate::follow(std::uint64_t NewTerm) -> void {
  if (NewTerm <= Term)
    return;
  Term = NewTerm;
  for (auto &[Name, Each] : Lanes)
    Each.Share.follow(Term);
}

auto RateGate::apply(const std::string &Quantity, const ShareGrant &Grant,
                     TimePoint Now) -> void {
  for (auto &[Name, Each] : Lanes)
    if (rateQuantity(Name) == Quantity && Each.Share.apply(Grant, Now))
      return serve(Each, Now);
}

auto RateGate::tryAdmit(const WorkspaceId &Workspace, TimePoint Now) -> bool {
  const auto Place = Lanes.find(Workspace);
  if (Place == Lanes.end())
    return !Channel || Workspace.empty();
  Lane &Of = Place->second;
  Of.Share.demandSeen();
  return Of.Waiting.empty() && Of.Share.tryTake(Now);
}

auto RateGate::wait(const WorkspaceId &Workspace, TimePoint Now, Handler Done)
    -> Ticket {
  const auto Place = Lanes.find(Workspace);
  if (Place == Lanes.end())
    return 0;
  Lane &Of = Place->second;
  if (Of.Waiting.size() >= Of.Limit)
    return 0;
  Of.Waiting.push_back(
      {++LastTicket, Now + Settings.LongestWait, std::move(Done)});
  const Ticket Number = LastTicket;
  report(Workspace, Of, Now);
  return Number;
}

auto RateGate::cancel(const WorkspaceId &Workspace, Ticket Number) -> void {
  const auto Place = Lanes.find(Workspace);
  if (Place == Lanes.end())
    return;
  std::erase_if(Place->second.Waiting,
                [Number](const Waiter &Each) { return Each.Number == Number; });
}

auto RateGate::serve(Lane &Of, TimePoint Now) -> void {
  // Handlers run last: they may come back here.
  std::vector<std::pair<Handler, bool>> Ready;
  while (!Of.Waiting.empty()) {
    Waiter &First = Of.Waiting.front();
    const bool Admitted = Of.Share.tryTake(Now);
    if (!Admitted && Now < First.Until)
      break;
    Ready.emplace_back(std::move(First.Done), Admitted);
    Of.Waiting.pop_front();
  }
  for (const auto &[Done, Admitted] : Ready)
    Done(Admitted);
}

auto RateGate::report(const WorkspaceId &Workspace, Lane &Of, TimePoint Now)
    -> void {
  Of.Share.setWaiting(static_cast<std::uint32_t>(Of.Waiting.size()));
  if (Of.Share.reportDue(Now))
    Channel->send(Settings.Thread, rateQuantity(Workspace),
                  Of.Share.makeRequest(Now));
}

auto RateGate::tick(TimePoint Now) -> void {
  for (auto &[Name, Each] : Lanes) {
    serve(Each, Now);
    report(Name, Each, Now);
  }
}

auto RateGate::waiting() const -> bool {
  return std::any_of(Lanes.begin(), Lanes.end(), [](const auto &Entry) {
    return !Entry.second.Waiting.empty();
  });
}

auto RateGate::retryAfter(const WorkspaceId &Workspace, TimePoint Now)
    -> std::int64_t {
  const auto Place = Lanes.find(Workspace);
  if (Place == Lanes.end())
    return 1;
  const auto Wait = Place->second.Share.timeUntilToken(Now);
  if (!Wait)
    return 1;
  return std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(*Wait).count());
}

} // namespace buckthornring
