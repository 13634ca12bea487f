// The reports of the instances to the leader, its replies, relays and members.

#include "Gateway/Leader.h"

#include "IO/BootClock.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

/// Instances in other data centres that each instance is told of, for the
/// exchange of load reports: enough to lose some of them.
constexpr std::size_t ContactsOfInstance = 4;

/// An instance that has not reported for this time is no longer counted as a
/// member of the fleet.
constexpr Duration MemberTimeout = std::chrono::seconds(6);

/// Time after the start of a leadership by which all instances have reported
/// several times.
constexpr Duration InitialReportPeriod = std::chrono::milliseconds(1000);

/// Minimum number of instances in a data centre for one of them to read the
/// store for all. The relay proves its contact with the store 2.5 times a
/// second, which costs as many calls as the watches of three instances on a day
/// with changes.
constexpr std::size_t MinRelayedInstances = 6;

/// Time after the start of a leadership by which each instance has reported
/// once, and the largest instances of each data centre are known.
constexpr Duration RelaySelectionDelay = std::chrono::milliseconds(500);

/// A relay that has not reported for this time is replaced.
constexpr Duration RelayTimeout = std::chrono::milliseconds(1300);

/// Weight of one report in the moving average of a target's time per request.
constexpr double WorkSmoothingFactor = 0.15;

} // namespace

auto Leader::handleReport(const FleetReport &Report, const std::string &Address,
                          bool StoreReachable) -> FleetReply {
  const TimePoint Now = bootNow();
  if (Report.Leaving)
    Members.erase(Report.Instance);
  else
    Members[Report.Instance] = {Address,         Report.DataCentre,
                                Report.Capacity, Report.StoreReachable,
                                Report.Seen,     Now};
  std::erase_if(Members, [Now](const auto &Entry) {
    return Now - Entry.second.ReportedAt > MemberTimeout;
  });
  recordOwnerNotices(Report, Now);
  if (Context.RolloutDecisions)
    Context.RolloutDecisions->handleReport(Report.Instance, Report.Process,
                                           Report.Rollouts, Now);
  const RelayPair Relays = selectRelays(Report.DataCentre, Now);
  // The relay of a data centre also holds its shares of the rates: divided
  // among hundreds of instances, most rates would leave less than one token to
  // each.
  const std::string &SenderAddress =
      Report.Instance == Self.Instance ? Self.Address : Address;
  const bool HoldsShares =
      Relays.Primary.empty() || Relays.Primary == SenderAddress;
  if (HoldsShares)
    Rates.recordDemand(Report.Instance, Report.Demand,
                       std::chrono::milliseconds(Report.CountPeriodMs), Now);
  else
    Rates.remove(Report.Instance);
  Rates.expire(Now);
  // The leader reports to itself once per report interval, so the parts are
  // computed once per interval.
  if (Report.Instance == Self.Instance)
    Rates.recompute();
  for (const auto &[Id, Keys] : Report.Keys) {
    const auto Found = Services.find(Id);
    if (Found != Services.end())
      for (const std::uint32_t Key : Keys)
        Found->second.Load.add(Key, Now);
  }
  recordOwnerOutcomes(Report, Now);
  FleetReply Reply;
  Reply.Leader = Self;
  Reply.StoreReachable = StoreReachable;
  Reply.SharesValid = Now - StartedAt > InitialReportPeriod;
  Reply.RateHolders = std::max(1U, Rates.instances());
  if (HoldsShares) {
    const auto Parts = Rates.sharesOf(Report.Instance);
    Reply.WorkspaceShares = Parts.ByWorkspace;
    Reply.DefaultShare = Parts.DefaultShare;
  } else {
    Reply.RateKeeper = Relays.Primary;
  }
  Reply.Instances =
      std::max(Reply.RateHolders, static_cast<std::uint32_t>(Members.size()));
  Reply.InstancesInDataCentre = static_cast<std::uint32_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return Entry.second.DataCentre == Report.DataCentre;
      }));
  Reply.Relay = Relays.Primary;
  Reply.BackupRelay = Relays.Backup;
  addContacts(Report, Reply);
  addNeighbours(Report, Reply);
  if (Context.RolloutDecisions)
    Reply.Rollouts = Context.RolloutDecisions->notices(Now);
  for (const auto &[Id, Other] : Members) {
    if (Other.StoreReachable && Now - Other.ReportedAt < RelayTimeout)
      Reply.LargestCapacity = std::max(Reply.LargestCapacity, Other.Capacity);
    const SeenRevisions &Seen = Other.Seen;
    const bool Newer = Seen.Configuration > Reply.Seen.Configuration ||
                       Seen.Targets > Reply.Seen.Targets ||
                       Seen.Evacuations > Reply.Seen.Evacuations;
    if (Newer && Id != Report.Instance)
      Reply.SeenByAddress = addressOf(Id, Other);
    Reply.Seen.Configuration =
        std::max(Reply.Seen.Configuration, Seen.Configuration);
    Reply.Seen.Targets = std::max(Reply.Seen.Targets, Seen.Targets);
    Reply.Seen.Evacuations = std::max(Reply.Seen.Evacuations, Seen.Evacuations);
  }
  return Reply;
}

auto Leader::recordOwnerNotices(const FleetReport &Report, TimePoint Now)
    -> void {
  std::erase_if(OwnerPauses,
                [Now](const auto &Entry) { return Now >= Entry.second.Until; });
  for (const auto &[Id, Notice] : Report.OwnerNotices) {
    const TargetPtr Target = Context.Targets.find(Id);
    if (!Target || Target->Record.StartedAtMs != Notice.StartedAtMs)
      continue;
    if (Notice.Leaving)
      Context.Announcements.recordReported(Target->Record, Report.Instance);
    const TimePoint Until = Now + std::chrono::milliseconds(Notice.PauseMs);
    OwnerPause &Known = OwnerPauses[Id];
    if (Known.StartedAt != Notice.StartedAtMs || Known.Until < Until)
      Known = {Notice.StartedAtMs, Until};
  }
}

auto Leader::addressOf(const InstanceId &Id, const Member &Instance) const
    -> const std::string & {
  // A report of the leader to itself carries no sender address.
  return Id == Self.Instance ? Self.Address : Instance.Address;
}

auto Leader::selectRelays(const DataCentreId &DataCentre, TimePoint Now) const
    -> RelayPair {
  using Entry = std::pair<const InstanceId, Member>;
  const Entry *Best = nullptr;
  const Entry *Second = nullptr;
  std::size_t Count = 0;
  for (const Entry &Each : Members) {
    const Member &Candidate = Each.second;
    if (Candidate.DataCentre != DataCentre)
      continue;
    ++Count;
    if (!Candidate.StoreReachable || Now - Candidate.ReportedAt >= RelayTimeout)
      continue;
    if (!Best || Candidate.Capacity > Best->second.Capacity)
      Second = std::exchange(Best, &Each);
    else if (!Second || Candidate.Capacity > Second->second.Capacity)
      Second = &Each;
  }
  if (!Best || Count < MinRelayedInstances ||
      Now - StartedAt < RelaySelectionDelay)
    return {};
  return {addressOf(Best->first, Best->second),
          Second ? addressOf(Second->first, Second->second) : ""};
}

auto Leader::addNeighbours(const FleetReport &Report, FleetReply &Reply) const
    -> void {
  std::string Addresses;
  for (const auto &[Id, Other] : Members)
    if (Other.DataCentre == Report.DataCentre && Id != Report.Instance) {
      const std::string &Address = addressOf(Id, Other);
      Reply.Neighbours.push_back(Address);
      Addresses.append(Address).append(",");
    }
  for (const std::string &Contact : Reply.Contacts)
    Addresses.append(Contact).append(";");
  Reply.NeighboursVersion = std::hash<std::string>()(Addresses);
  if (Reply.NeighboursVersion != Report.KnownNeighboursVersion)
    return;
  Reply.Neighbours.clear();
  Reply.Contacts.clear();
}

auto Leader::addContacts(const FleetReport &Report, FleetReply &Reply) const
    -> void {
  std::vector<const std::string *> Outside;
  std::size_t Position = 0; ///< Of the receiver in its data centre.
  for (const auto &[Id, Other] : Members)
    if (Other.DataCentre != Report.DataCentre)
      Outside.push_back(&addressOf(Id, Other));
    else if (Id < Report.Instance)
      ++Position;
  const std::size_t Count = std::min(Outside.size(), ContactsOfInstance);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Reply.Contacts.push_back(
        *Outside[(Position + Index * Outside.size() / Count) % Outside.size()]);
}

auto Leader::membersOutside(const DataCentreId &DataCentre) const
    -> std::vector<std::string> {
  std::vector<std::string> Addresses;
  for (const auto &[Id, Other] : Members)
    if (Id != Self.Instance && Other.DataCentre != DataCentre)
      Addresses.push_back(Other.Address);
  return Addresses;
}

auto Leader::dataCentreOf(const std::string &Address) const -> DataCentreId {
  const auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return Entry.second.Address == Address;
      });
  return Found == Members.end() ? DataCentreId() : Found->second.DataCentre;
}

auto Leader::grantRate(const RateReserveRequest &Request,
                       const Configuration &Config) -> RateReserveReply {
  RateReserveReply Reply{Request.Workspace, 0, Request.Number};
  const auto Found = Config.Workspaces.find(Request.Workspace);
  if (leading() && Found != Config.Workspaces.end())
    Reply.Granted = Reserve.take(Request.Workspace, Found->second,
                                 Request.Wanted, Rates.instances(), bootNow());
  return Reply;
}

auto Leader::recordOwnerOutcomes(const FleetReport &Report, TimePoint Now)
    -> void {
  const auto StateOf = [this](const TargetId &Id) -> ServiceState * {
    const TargetPtr Target = Context.Targets.find(Id);
    const auto Found =
        Target ? Services.find(Target->Record.Service) : Services.end();
    return Found == Services.end() ? nullptr : &Found->second;
  };
  for (const auto &[Id, ProcessingTimeMs] : Report.ProcessingTimeMs)
    if (ServiceState *State = StateOf(Id)) {
      double &Average =
          State->ProcessingTimeMs.try_emplace(Id, ProcessingTimeMs)
              .first->second;
      Average += WorkSmoothingFactor * (ProcessingTimeMs - Average);
      // The number of successes is reported beside failures only.
      if (!Report.OwnerFailures.contains(Id))
        State->Failing.record(Id, {1, 0}, Now);
    }
  for (const auto &[Id, Outcomes] : Report.OwnerFailures)
    if (ServiceState *State = StateOf(Id))
      State->Failing.record(Id, Outcomes, Now);
}

} // namespace buckthornring
