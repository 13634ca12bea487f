#include "Entry/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

auto placeAt(const TargetView &Target, std::optional<Epoch> Slice)
    -> DispatchPlace {
  return {Target.Id,          Target.Config->Address,
          Target.Connections, Slice,
          Target.Gate,        false};
}

/// Requests of one instance at one relay. The instance behind it has its own
/// queues and limits; this bounds what a silent one can hold.
constexpr std::uint32_t RelayRequestLimit = 256;
constexpr std::size_t RelayConnectionLimit = 64;

auto contains(const std::vector<TargetId> &List, const TargetId &Id) -> bool {
  return std::find(List.begin(), List.end(), Id) != List.end();
}

} // namespace

Dispatcher::Dispatcher(std::size_t Thread, TargetStats &Stats,
                       RandomSource &Random, Wake WakeOther)
    : Thread(Thread), Stats(Stats), Random(Random),
      WakeOther(std::move(WakeOther)),
      Chooser(TargetChooser::make(ChooserKind::TwoChoices)) {}

auto Dispatcher::setSnapshot(std::shared_ptr<const RoutingSnapshot> Next)
    -> void {
  Snapshot = std::move(Next);
  serveAll();
}

auto Dispatcher::view(const ServiceId &Service) const -> const ServiceView * {
  return Snapshot ? Snapshot->service(Service) : nullptr;
}

auto Dispatcher::owner(const ServiceId &Service, std::uint32_t Slice) const
    -> const SliceOwner * {
  const ServiceView *Found = view(Service);
  return Found ? Found->owner(Slice) : nullptr;
}

auto Dispatcher::laneOf(const DispatchWish &Wish) const
    -> std::optional<LaneKey> {
  if (!Wish.Slice)
    return LaneKey{Wish.Service, {}};
  const SliceOwner *Owner = owner(Wish.Service, *Wish.Slice);
  if (!Owner)
    return std::nullopt;
  return LaneKey{Wish.Service, view(Wish.Service)->Targets[Owner->Target].Id};
}

auto Dispatcher::limitOf(const ServiceView &Service,
                         const TargetView &Target) const -> std::uint32_t {
  return std::min(Target.Slots, Stats.allowance(Service.Id, Target.Id));
}

auto Dispatcher::tryPlace(const DispatchWish &Wish)
    -> std::variant<DispatchPlace, DispatchFailure> {
  const ServiceView *Service = view(Wish.Service);
  if (!Service)
    return DispatchFailure::NoTarget;
  if (const auto Home = relayHome(*Service, Wish))
    return takeRelay(*Home);
  if (const auto Lane = laneOf(Wish)) {
    const auto Queue = Lanes.find(*Lane);
    if (Queue != Lanes.end() && Queue->second.size() > 0)
      return DispatchFailure::Busy;
  }
  return take(*Service, Wish);
}

auto Dispatcher::relays(const DispatchWish &Wish) const -> bool {
  const ServiceView *Service = view(Wish.Service);
  return Service && relayHome(*Service, Wish).has_value();
}

auto Dispatcher::relayHome(const ServiceView &Service,
                           const DispatchWish &Wish) const
    -> std::optional<DataCentreId> {
  if (Wish.Relayed)
    return std::nullopt;
  if (Wish.Slice) {
    // A slice that is leaving is still served here until it has been released.
    if (Service.owner(*Wish.Slice))
      return std::nullopt;
    const DataCentreId &Home =
        Snapshot->Index->Homes.at(Service.Id).home(*Wish.Slice);
    if (Home.empty() || Home == Snapshot->Own)
      return std::nullopt;
    return Home;
  }
  std::optional<DataCentreId> Other;
  for (const TargetView &Target : Service.Targets) {
    if (Target.Available && Target.Local)
      return std::nullopt;
    if (Target.Available &&
        Snapshot->Relays.contains(Target.Config->DataCentre))
      Other = Target.Config->DataCentre;
  }
  return Other;
}

auto Dispatcher::takeRelay(const DataCentreId &Home)
    -> std::variant<DispatchPlace, DispatchFailure> {
  const auto Found = Snapshot->Relays.find(Home);
  if (Found == Snapshot->Relays.end())
    return DispatchFailure::Unreachable;
  const auto &Peers = Found->second;
  const std::size_t First = Random.below(Peers.size());
  for (std::size_t Step = 0; Step < Peers.size(); ++Step) {
    const RelayPeer &Peer = Peers[(First + Step) % Peers.size()];
    if (Peer.Gate->tryEnter(RelayRequestLimit))
      return DispatchPlace{Peer.Id,      Peer.Address, RelayConnectionLimit,
                           std::nullopt, Peer.Gate,    true};
  }
  return DispatchFailure::AllTried;
}

auto Dispatcher::take(const ServiceView &Service, const DispatchWish &Wish)
    -> std::variant<DispatchPlace, DispatchFailure> {
  return Wish.Slice ? takeOwner(Service, *Wish.Slice)
                    : takeChosen(Service, Wish.Avoided);
}

auto Dispatcher::takeOwner(const ServiceView &Service, std::uint32_t Slice)
    -> std::variant<DispatchPlace, DispatchFailure> {
  const SliceOwner *Owner = owner(Service.Id, Slice);
  if (!Owner)
    return DispatchFailure::NoOwner;
  const TargetView &Target = Service.Targets[Owner->Target];
  if (!Target.Gate->tryEnter(limitOf(Service, Target)))
    return DispatchFailure::Busy;
  return placeAt(Target, Owner->Current);
}

auto Dispatcher::takeChosen(const ServiceView &Service,
                            const std::vector<TargetId> &Avoided)
    -> std::variant<DispatchPlace, DispatchFailure> {
  std::vector<const TargetView *> Free;
  std::vector<TargetCandidate> Candidates;
  DispatchFailure Failure = DispatchFailure::NoTarget;
  for (const TargetView &Target : Service.Targets) {
    if (!Target.Available || !Target.Local ||
        Stats.ejected(Service.Id, Target.Id))
      continue;
    if (contains(Avoided, Target.Id)) {
      if (Failure == DispatchFailure::NoTarget)
        Failure = DispatchFailure::AllTried;
      continue;
    }
    Failure = DispatchFailure::Busy;
    if (Target.Gate->InUse.load() >= limitOf(Service, Target))
      continue;
    Free.push_back(&Target);
    Candidates.push_back({Stats.inFlight(Service.Id, Target.Id),
                          Stats.latency(Service.Id, Target.Id),
                          Target.ReportedLoad});
  }
  while (const auto Chosen = Chooser->choose(Candidates, Random)) {
    const TargetView &Target = *Free[*Chosen];
    if (Target.Gate->tryEnter(limitOf(Service, Target)))
      return placeAt(Target, std::nullopt);
    // Another thread has taken the slot in the meantime.
    const auto Offset = static_cast<std::ptrdiff_t>(*Chosen);
    Free.erase(Free.begin() + Offset);
    Candidates.erase(Candidates.begin() + Offset);
  }
  return Failure;
}

auto Dispatcher::wait(DispatchWish Wish, Handler Placed)
    -> std::optional<Ticket> {
  const auto Lane = laneOf(Wish);
  if (!Lane)
    return std::nullopt;
  FairQueue &Queue = Lanes[*Lane];
  const auto &Workspaces = Snapshot->config().Workspaces;
  if (const auto Place = Workspaces.find(Wish.Workspace);
      Place != Workspaces.end())
    Queue.configure(Wish.Workspace,
                    {Place->second.Weight, Place->second.QueueLimit});
  const Ticket Number = ++LastTicket;
  if (!Queue.push(Wish.Workspace, Number))
    return std::nullopt;
  Entries.emplace(Number, Entry{*Lane, std::move(Wish), std::move(Placed)});
  markWaiting(Lane->Service);
  return Number;
}

auto Dispatcher::markWaiting(const ServiceId &Service) -> void {
  const ServiceView *Found = view(Service);
  if (Found)
    Found->Gate->Waiting.fetch_or(std::uint64_t{1} << Thread);
}

auto Dispatcher::cancel(Ticket Number) -> void {
  const auto Place = Entries.find(Number);
  if (Place == Entries.end())
    return;
  Lanes[Place->second.Lane].remove(Place->second.Wish.Workspace, Number);
  Entries.erase(Place);
}

auto Dispatcher::hasSlot(const LaneKey &Lane) const -> bool {
  const ServiceView *Service = view(Lane.Service);
  if (!Service)
    return false;
  for (const TargetView &Target : Service->Targets) {
    const bool Wanted = Lane.Target.empty()
                            ? Target.Available && Target.Local &&
                                  !Stats.ejected(Service->Id, Target.Id)
                            : Target.Id == Lane.Target;
    if (Wanted && Target.Gate->InUse.load() < limitOf(*Service, Target))
      return true;
  }
  return false;
}

auto Dispatcher::serveLane(const LaneKey &Lane) -> void {
  FairQueue &Queue = Lanes[Lane];
  while (hasSlot(Lane)) {
    const auto Number = Queue.pop();
    if (!Number)
      return;
    const auto Place = Entries.find(*Number);
    const Entry Served = std::move(Place->second);
    Entries.erase(Place);
    const ServiceView &Service = *view(Lane.Service);
    auto Taken = take(Service, Served.Wish);
    // The free slot may be at a target that failed this request before.
    if (!std::holds_alternative<DispatchPlace>(Taken) && !Served.Wish.Slice)
      Taken = takeChosen(Service, {});
    if (const auto *Found = std::get_if<DispatchPlace>(&Taken)) {
      Served.Placed(*Found);
      continue;
    }
    // Another thread was faster, or the slice has moved: back to the queue, at
    // its end. A full queue cannot happen, since this request has just left.
    if (!wait(Served.Wish, Served.Placed))
      Served.Placed({});
    return;
  }
}

auto Dispatcher::serve(const ServiceId &Service) -> void {
  const ServiceView *Found = view(Service);
  if (!Found)
    return;
  Found->Gate->Waiting.fetch_and(~(std::uint64_t{1} << Thread));
  std::vector<LaneKey> Busy;
  for (const auto &[Lane, Queue] : Lanes)
    if (Lane.Service == Service && Queue.size() > 0)
      Busy.push_back(Lane);
  for (const LaneKey &Lane : Busy) {
    serveLane(Lane);
    if (Lanes[Lane].size() > 0)
      markWaiting(Service);
  }
}

auto Dispatcher::serveAll() -> void {
  if (Entries.empty() || !Snapshot)
    return;
  const auto Current = Snapshot;
  for (const auto &[Name, Service] : Current->Services)
    serve(Name);
}

auto Dispatcher::wakeNext(const ServiceView &Service) -> void {
  const std::uint64_t Waiting = Service.Gate->Waiting.load();
  // Turns start after the own thread, so that no thread keeps all slots.
  for (std::size_t Step = 1; Step <= ServiceGate::MaxThreads; ++Step) {
    const std::size_t Next = (Thread + Step) % ServiceGate::MaxThreads;
    if ((Waiting >> Next & 1U) == 0)
      continue;
    if (Next == Thread)
      serve(Service.Id);
    else
      WakeOther(Next, Service.Id);
    return;
  }
}

auto Dispatcher::release(const ServiceId &Service, TargetGate &Gate) -> void {
  Gate.leave();
  if (const ServiceView *Found = view(Service))
    wakeNext(*Found);
}

} // namespace buckthornring
