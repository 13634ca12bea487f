#include "Entry/RateGate.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

auto rateQuantity(const WorkspaceId &Workspace) -> std::string {
  return "rate/" + Workspace.str();
}

RateGate::RateGate(std::string HolderName, ShareChannel *Channel)
    : HolderName(std::move(HolderName)), Channel(Channel) {}

auto RateGate::setSnapshot(const RoutingSnapshot &Snapshot, TimePoint Now)
    -> void {
  if (!Channel)
    return;
  const auto &Configured = Snapshot.config().Workspaces;
  for (const auto &[Name, Config] : Configured)
    if (!Gates.contains(Name))
      addGate(Name, Config, Now);
  // A removed workspace's waiting requests end with their deadlines.
  std::erase_if(Gates, [&Configured](const auto &Entry) {
    return !Configured.contains(Entry.first);
  });
}

auto RateGate::addGate(const WorkspaceId &Workspace,
                       const WorkspaceConfig &Config, TimePoint Now) -> void {
  // The start time rises over restarts of the instance.
  const auto Session =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  ShareHolder Share(HolderName, ShareKind::Rate, Session, Now);
  if (Term != 0)
    Share.follow(Term);
  AdmissionGate::Options Options;
  Options.QueueLimit = Config.QueueLimit;
  Gates.emplace(Workspace, AdmissionGate(Options, std::move(Share)));
}

auto RateGate::follow(std::uint64_t NewTerm) -> void {
  if (NewTerm <= Term)
    return;
  Term = NewTerm;
  for (auto &[Name, Gate] : Gates)
    Gate.share().follow(Term);
}

auto RateGate::apply(const std::string &Quantity, const ShareGrant &Grant,
                     TimePoint Now) -> void {
  for (auto &[Name, Gate] : Gates)
    if (rateQuantity(Name) == Quantity && Gate.share().apply(Grant, Now))
      return serve(Gate, Now);
}

auto RateGate::offer(const WorkspaceId &Workspace, Ticket Number,
                     TimePoint Deadline, TimePoint Now, Handler Done)
    -> Answer {
  const auto Place = Gates.find(Workspace);
  // Open routes have no workspace and so no rate.
  if (Place == Gates.end())
    return !Channel || Workspace.empty() ? Answer::Admit : Answer::Refuse;
  const Answer Decision = Place->second.offer(Number, Deadline, Now);
  if (Decision == Answer::Wait) {
    Handlers.emplace(Number, std::move(Done));
    report(Workspace, Place->second, Now);
  }
  return Decision;
}

auto RateGate::cancel(const WorkspaceId &Workspace, Ticket Number) -> void {
  Handlers.erase(Number);
  if (const auto Place = Gates.find(Workspace); Place != Gates.end())
    Place->second.remove(Number);
}

auto RateGate::finish(Ticket Number, bool Admitted) -> void {
  const auto Place = Handlers.find(Number);
  if (Place == Handlers.end())
    return;
  const Handler Done = std::move(Place->second);
  Handlers.erase(Place);
  Done(Admitted);
}

auto RateGate::serve(AdmissionGate &Gate, TimePoint Now) -> void {
  const auto Progress = Gate.advance(Now);
  for (const Ticket Number : Progress.Refused)
    finish(Number, false);
  for (const Ticket Number : Progress.Admitted)
    finish(Number, true);
}

auto RateGate::report(const WorkspaceId &Workspace, AdmissionGate &Gate,
                      TimePoint Now) -> void {
  if (Gate.share().reportDue(Now))
    Channel->send(rateQuantity(Workspace), Gate.share().makeRequest(Now));
}

auto RateGate::tick(TimePoint Now) -> void {
  for (auto &[Name, Gate] : Gates) {
    serve(Gate, Now);
    report(Name, Gate, Now);
  }
}

auto RateGate::retryAfter(const WorkspaceId &Workspace, TimePoint Now)
    -> std::int64_t {
  const auto Place = Gates.find(Workspace);
  if (Place == Gates.end())
    return 1;
  const auto Wait = Place->second.share().timeUntilToken(Now);
  if (!Wait)
    return 1;
  return std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(*Wait).count());
}

} // namespace buckthornring
