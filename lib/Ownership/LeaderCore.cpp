#include "buckthornring/Ownership/LeaderCore.h"
#include "Ownership/OwnershipContext.h"
#include "Ownership/ServiceLeader.h"

#include <algorithm>

namespace buckthornring {

class LeaderCore::State {
public:
  State(const Identity &Self, OwnershipTimes Times, SafetySwitches Switches,
        TimePoint Now)
      : Context{Self, Times, Switches,
                TermKeeper(Self.Self, Self.FailureDomain, Self.DataCentre,
                           Times, Switches, Now),
                RoutingTable(Times, Switches)} {}

  auto checkTerm(TimePoint Now, OwnershipActions &Actions) -> void;
  auto tick(TimePoint Now, OwnershipActions &Actions) -> void;
  auto announce(TimePoint Now, OwnershipActions &Actions) -> void;
  auto heartbeats(TimePoint Now, OwnershipActions &Actions) -> void;
  auto heartbeat(const InstanceId &To, bool WithLease) -> RoutingHeartbeat;
  auto find(const std::string &Name)
      -> std::pair<ServiceLeader *, std::uint32_t>;

  auto take(const InstanceId &From, const RoutingAck &Ack, TimePoint Now)
      -> void;
  auto take(const InstanceId &From, const AssignmentCopy &Copy,
            OwnershipActions &Actions) -> void;

  OwnershipContext Context;
  std::map<ServiceId, ServiceLeader> Services;
  std::vector<PairCandidate> Instances;
  std::uint64_t Generation = 0;
  std::uint64_t SeenTerm = 0;
  bool Leads = false;
  std::uint64_t Number = 0;
  TimePoint BeatAt;
  TimePoint AnnouncedAt;
  std::uint64_t BeatVersions = 0;
};

/// Follows a change of the term record.
auto LeaderCore::State::checkTerm(TimePoint Now, OwnershipActions &Actions)
    -> void {
  const TermRecord &Record = Context.Term.record();
  if (Record.Term == SeenTerm)
    return;
  const std::uint64_t OldTerm = std::exchange(SeenTerm, Record.Term);
  const bool WasLeader =
      std::exchange(Leads, Context.Term.role() == TermRole::Leader);
  Context.Sequence = 0;
  for (auto &[Id, Service] : Services)
    Service.enterTerm(WasLeader, OldTerm, Now);
  BeatAt = TimePoint();
  if (!Leads)
    return;
  AnnouncedAt = Now;
  for (const PairCandidate &Each : Instances)
    if (Each.Id != Context.Identity.Self)
      Actions.push_back(SendLink{Each.Id, TermAnnounce{Record}});
}

/// Repeats the announcement to instances of earlier terms until they answer.
auto LeaderCore::State::announce(TimePoint Now, OwnershipActions &Actions)
    -> void {
  if (Now < AnnouncedAt + Context.Times.HeartbeatEvery)
    return;
  AnnouncedAt = Now;
  for (const auto &[Instance, Bound] : Context.Term.previous())
    if (!Bound || Now < *Bound)
      Actions.push_back(
          SendLink{Instance, TermAnnounce{Context.Term.record()}});
}

auto LeaderCore::State::heartbeat(const InstanceId &To, bool WithLease)
    -> RoutingHeartbeat {
  RoutingHeartbeat Beat;
  Beat.Term = Context.Term.record().Term;
  Beat.Number = ++Number;
  Beat.Generation = Generation;
  for (auto &[Id, Service] : Services) {
    const auto [Term, Version] = Context.Routing.version(To, Id);
    SliceDelta Delta = Service.map().delta(Term, Version);
    if (Delta.Term == 0)
      continue;
    if (Service.routable())
      Beat.Routable.push_back(Id);
    if (Service.routable() || !Delta.Entries.empty())
      Beat.Deltas.push_back(std::move(Delta));
  }
  Context.Routing.sent(To, Beat, WithLease);
  return Beat;
}

auto LeaderCore::State::heartbeats(TimePoint Now, OwnershipActions &Actions)
    -> void {
  std::uint64_t Versions = 0;
  for (auto &[Id, Service] : Services)
    Versions += Service.map().version();
  if (Versions == BeatVersions && Now < BeatAt + Context.Times.HeartbeatEvery)
    return;
  BeatVersions = Versions;
  BeatAt = Now;
  const bool WithLease = Context.Term.mayRenew(Now);
  for (const PairCandidate &Each : Instances)
    Actions.push_back(SendLink{Each.Id, heartbeat(Each.Id, WithLease)});
}

auto LeaderCore::State::tick(TimePoint Now, OwnershipActions &Actions) -> void {
  Context.Term.tick(Now, Actions);
  checkTerm(Now, Actions);
  const TermKeeper &Term = Context.Term;
  if (Term.highestTerm() > Term.record().Term || !Term.mayRenew(Now))
    return;
  if (Leads) {
    announce(Now, Actions);
    for (auto &[Id, Service] : Services)
      Service.tickLeader(Now, Actions);
  } else {
    for (auto &[Id, Service] : Services)
      Service.tickDeputy(Now, Actions);
  }
  heartbeats(Now, Actions);
}

auto LeaderCore::State::take(const InstanceId &From, const RoutingAck &Ack,
                             TimePoint Now) -> void {
  Context.Term.learnTerm(Ack.Term);
  Context.Routing.received(From, Ack, Now);
  for (const auto &[Id, Each] : Ack.Services) {
    const auto Place = Services.find(Id);
    if (Place != Services.end())
      Place->second.load().add(Each.Requests);
  }
}

auto LeaderCore::State::take(const InstanceId &From, const AssignmentCopy &Copy,
                             OwnershipActions &Actions) -> void {
  const TermRecord &Record = Context.Term.record();
  if (Copy.Term != Record.Term || From != Record.Leader ||
      Context.Term.role() != TermRole::Deputy)
    return;
  const auto Place = Services.find(Copy.Delta.Service);
  if (Place == Services.end())
    return;
  Actions.push_back(SendLink{From, Place->second.copy(Copy)});
}

/// Returns the service and segment of an assignment object's name.
auto LeaderCore::State::find(const std::string &Name)
    -> std::pair<ServiceLeader *, std::uint32_t> {
  for (auto &[Id, Service] : Services)
    for (std::uint32_t Segment = 0; Segment < Service.map().segments();
         ++Segment)
      if (assignmentObjectName(Context.Identity.DataCentre, Id, Segment) ==
          Name)
        return {&Service, Segment};
  return {nullptr, 0};
}

LeaderCore::LeaderCore(const Identity &Self, OwnershipTimes Times,
                       SafetySwitches Switches, TimePoint Now)
    : Core(std::make_unique<State>(Self, Times, Switches, Now)) {}

LeaderCore::~LeaderCore() = default;

auto LeaderCore::setServices(const std::vector<OwnedService> &Services,
                             TimePoint Now) -> void {
  auto &Known = Core->Services;
  std::erase_if(Known, [&](const auto &Each) {
    return std::none_of(Services.begin(), Services.end(), [&](const auto &New) {
      return New.Id == Each.first && New.Slices == Each.second.map().slices();
    });
  });
  for (const OwnedService &Each : Services) {
    if (const auto Place = Known.find(Each.Id); Place != Known.end()) {
      Place->second.configure(Each);
      continue;
    }
    auto Map = SliceMap::make(Each.Id, Each.Slices);
    if (!Map)
      continue;
    const auto Place =
        Known.try_emplace(Each.Id, Each, std::move(Map).value(), Core->Context)
            .first;
    if (Core->SeenTerm != 0)
      Place->second.enterTerm(false, 0, Now);
  }
}

auto LeaderCore::setInstances(const std::vector<PairCandidate> &Instances,
                              TimePoint) -> void {
  Core->Instances = Instances;
  const PairCandidate Self{Core->Context.Identity.Self,
                           Core->Context.Identity.FailureDomain};
  if (std::none_of(Instances.begin(), Instances.end(),
                   [&](const auto &Each) { return Each.Id == Self.Id; }))
    Core->Instances.push_back(Self);
  Core->Context.Term.setCandidates(Instances);
}

auto LeaderCore::setGeneration(std::uint64_t Generation) -> void {
  Core->Generation = Generation;
}

auto LeaderCore::tick(TimePoint Now) -> OwnershipActions {
  OwnershipActions Actions;
  Core->tick(Now, Actions);
  return Actions;
}

auto LeaderCore::receive(const InstanceId &From, const LinkMessage &Message,
                         TimePoint Now) -> OwnershipActions {
  OwnershipActions Actions;
  TermKeeper &Term = Core->Context.Term;
  if (const auto *Request = std::get_if<TermConfirmRequest>(&Message))
    Term.receive(From, *Request, Now, Actions);
  else if (const auto *Confirm = std::get_if<TermConfirm>(&Message))
    Term.receive(From, *Confirm, Now);
  else if (const auto *Announce = std::get_if<TermAnnounce>(&Message))
    Term.receive(From, *Announce, Now, Actions);
  else if (const auto *Ack = std::get_if<TermAck>(&Message))
    Term.receive(From, *Ack, Now);
  else if (const auto *Leaving = std::get_if<Resign>(&Message))
    Term.receive(From, *Leaving, Now);
  else if (const auto *Beat = std::get_if<RoutingHeartbeat>(&Message))
    Term.heardFrom(From, Beat->Term, Now);
  else if (const auto *Routing = std::get_if<RoutingAck>(&Message))
    Core->take(From, *Routing, Now);
  else if (const auto *Copy = std::get_if<AssignmentCopy>(&Message))
    Core->take(From, *Copy, Actions);
  else if (const auto *Copied = std::get_if<AssignmentCopyAck>(&Message)) {
    const auto Place = Core->Services.find(Copied->Service);
    if (Place != Core->Services.end() && Copied->Term == Core->SeenTerm &&
        From == Term.record().Deputy)
      Place->second.store().copied(*Copied);
  }
  Core->checkTerm(Now, Actions);
  return Actions;
}

auto LeaderCore::leaseReply(const TargetId &Target, const LeaseReply &Reply,
                            TimePoint Now) -> OwnershipActions {
  for (auto &[Id, Service] : Core->Services)
    Service.leaseReply(Target, Reply, Now);
  return {};
}

auto LeaderCore::targetAlive(const TargetId &Target, TimePoint Now) -> void {
  for (auto &[Id, Service] : Core->Services)
    Service.targetAlive(Target, Now);
}

auto LeaderCore::objectRead(const std::string &Name, const ReadAnswer &Answer,
                            TimePoint Now) -> OwnershipActions {
  OwnershipActions Actions;
  if (Name == termObjectName(Core->Context.Identity.DataCentre)) {
    Core->Context.Term.objectRead(Answer, Now, Actions);
    Core->checkTerm(Now, Actions);
  } else if (const auto [Service, Segment] = Core->find(Name); Service) {
    Service->store().objectRead(Segment, Answer, Service->editableMap());
  }
  return Actions;
}

auto LeaderCore::objectWritten(const std::string &Name,
                               const WriteAnswer &Answer, TimePoint Now)
    -> OwnershipActions {
  OwnershipActions Actions;
  if (Name == termObjectName(Core->Context.Identity.DataCentre)) {
    Core->Context.Term.objectWritten(Answer, Now);
    Core->checkTerm(Now, Actions);
  } else if (const auto [Service, Segment] = Core->find(Name); Service) {
    Service->store().objectWritten(Segment, Answer);
  }
  return Actions;
}

auto LeaderCore::confirmTargetLost(const TargetId &Target, TimePoint Now)
    -> void {
  for (auto &[Id, Service] : Core->Services)
    Service.confirmTargetLost(Target, Now);
}

auto LeaderCore::confirmInstanceLost(const InstanceId &Instance, TimePoint Now)
    -> void {
  Core->Context.Term.confirmLost(Instance, Now);
}

auto LeaderCore::resign(TimePoint Now) -> OwnershipActions {
  OwnershipActions Actions;
  Core->Context.Term.resign(Now, Actions);
  return Actions;
}

auto LeaderCore::term() const -> const TermKeeper & {
  return Core->Context.Term;
}

auto LeaderCore::map(const ServiceId &Service) const -> const SliceMap * {
  const auto Place = Core->Services.find(Service);
  return Place == Core->Services.end() ? nullptr : &Place->second.map();
}

auto LeaderCore::acknowledged(const ServiceId &Service,
                              std::uint32_t Slice) const -> bool {
  const auto Place = Core->Services.find(Service);
  return Core->Leads && Place != Core->Services.end() &&
         Place->second.acknowledged(Slice);
}

auto LeaderCore::waiting(const ServiceId &Service) const -> std::uint32_t {
  const auto Place = Core->Services.find(Service);
  return Place == Core->Services.end() ? 0 : Place->second.waiting();
}

auto LeaderCore::releasedAway(const ServiceId &Service) const -> bool {
  const auto Place = Core->Services.find(Service);
  return Place != Core->Services.end() && Core->Leads &&
         Place->second.releasedAway();
}

} // namespace buckthornring
