#pragma once

// Definitions of OwnershipWorld, included once by each program that uses it.
#include "ownership/OwnershipWorld.h"

#include <algorithm>
#include <utility>

namespace buckthornring::test {

inline OwnershipWorld::OwnershipWorld(const Options &Given)
    : Random(Given.Seed), Set(Given) {
  for (std::size_t I = 0; I < Set.VerifiedTargets + Set.UnverifiedTargets;
       ++I) {
    Target Each;
    Each.Verified = I < Set.VerifiedTargets;
    Each.Id = TargetId((Each.Verified ? "v" : "u") + std::to_string(I));
    Targets.push_back(std::move(Each));
    startTarget(I);
  }
  Instances.resize(Set.Instances);
  for (std::size_t I = 0; I < Set.Instances; ++I) {
    Instances[I].Host = "i" + std::to_string(I);
    startInstance(I);
  }
  for (std::size_t I = Set.VerifiedTargets; I < Targets.size(); ++I)
    pollHealth(I);
}

inline auto OwnershipWorld::services() const -> std::vector<OwnedService> {
  OwnedService Verified;
  Verified.Id = ServiceId("v");
  Verified.Slices = Set.VerifiedSlices;
  OwnedService Unverified;
  Unverified.Id = ServiceId("u");
  Unverified.Slices = Set.UnverifiedSlices;
  Unverified.Verification = TargetVerification::Unverified;
  Unverified.MaxDeadline = Set.MaxDeadline;
  for (const Target &Each : Targets)
    (Each.Verified ? Verified : Unverified).Targets[Each.Id] =
        ConfirmedLost.contains(Each.Id) ? ServingState::TakenOut
                                        : ServingState::InService;
  Verified.ConfirmedLost = ConfirmedLost;
  if (Set.UnverifiedTargets == 0)
    return {Verified};
  return {Verified, Unverified};
}

inline auto OwnershipWorld::newClock(bool OfTarget) -> ProcessClock {
  ProcessClock Clock;
  Clock.Offset = static_cast<std::int64_t>(100 * Second + Random.below(Second));
  // Slightly less than half the bound each way keeps every ratio within it.
  if (Set.ClockDrift)
    Clock.Rate = 1 + (Random.chance(0.5) ? 0.0049 : -0.0049);
  if (Set.SlowTargets)
    Clock.Rate = OfTarget ? 0.9951 : 1.0049;
  return Clock;
}

inline auto OwnershipWorld::startTarget(std::size_t Index) -> void {
  Target &Each = Targets[Index];
  Each.Clock = newClock(true);
  Each.Up = true;
  Each.PausedUntil = 0;
  Each.Inbox.clear();
  Each.Run = ++Runs;
  Each.Process.emplace("start" + std::to_string(Runs), Set.Switches);
}

inline auto OwnershipWorld::stopTarget(std::size_t Index) -> void {
  Target &Each = Targets[Index];
  trace("stop " + Each.Id.str());
  Each.Up = false;
  Each.Process.reset();
  Each.Inbox.clear();
  Each.Run = ++Runs;
  for (const auto &Open : Requests)
    if (Open->Target == Index)
      Open->Open = false;
}

inline auto OwnershipWorld::startInstance(std::size_t Index) -> void {
  Instance &Each = Instances[Index];
  Each.Run = ++Runs;
  Each.Id = InstanceId(Each.Host + "#" + std::to_string(Runs));
  Each.Clock = newClock(false);
  Each.Up = true;
  Each.PausedUntil = 0;
  Each.Inbox.clear();
  Each.Core = std::make_unique<LeaderCore>(
      LeaderCore::Identity{Each.Id, DataCentreId("dc"),
                           "rack" + std::to_string(Index % 3)},
      Set.Times, Set.Switches, local(Each));
  Each.Routing = std::make_unique<RoutingLease>(Set.Switches);
  Each.Core->setServices(services(), local(Each));
  const std::uint64_t Run = Each.Run;
  Queue.after(static_cast<TrueTime>(Random.below(Set.Tick)) + 1,
              [=, this] { tickInstance(Index, Run); });
  if (Set.RequestEvery > 0 && Set.UnverifiedTargets > 0)
    Queue.after(Set.RequestEvery, [=, this] { sendRequests(Index, Run); });
}

inline auto OwnershipWorld::killInstance(std::size_t Index) -> void {
  Instance &Each = Instances[Index];
  trace("kill " + Each.Id.str());
  Each.Up = false;
  Each.Run = ++Runs;
  Each.Core.reset();
  Each.Routing.reset();
  Each.Inbox.clear();
}

inline auto OwnershipWorld::resign(std::size_t Index) -> void {
  Instance &Each = Instances[Index];
  if (Each.Up && Queue.now() >= Each.PausedUntil)
    perform(Index, Each.Core->resign(local(Each)));
}

inline auto OwnershipWorld::confirmLost(std::size_t Index) -> void {
  ConfirmedLost.insert(Targets[Index].Id);
  for (Instance &Each : Instances)
    if (Each.Up)
      Each.Core->setServices(services(), local(Each));
}

inline auto OwnershipWorld::pauseInstance(std::size_t Index, TrueTime Span)
    -> void {
  Instance &Each = Instances[Index];
  if (!Each.Up || Queue.now() < Each.PausedUntil)
    return;
  trace("pause " + Each.Id.str() + " " + std::to_string(Span / Millisecond));
  Each.PausedUntil = Queue.now() + Span;
  const std::uint64_t Run = Each.Run;
  Queue.after(Span, [=, this] {
    Instance &Paused = Instances[Index];
    if (Paused.Run != Run)
      return;
    for (auto &Handle : std::exchange(Paused.Inbox, {}))
      Handle();
  });
}

inline auto OwnershipWorld::pauseTarget(std::size_t Index, TrueTime Span)
    -> void {
  Target &Each = Targets[Index];
  if (!Each.Up || Queue.now() < Each.PausedUntil)
    return;
  trace("pause " + Each.Id.str() + " " + std::to_string(Span / Millisecond));
  Each.PausedUntil = Queue.now() + Span;
  const std::uint64_t Run = Each.Run;
  Queue.after(Span, [=, this] {
    Target &Paused = Targets[Index];
    if (Paused.Run != Run)
      return;
    for (auto &Handle : std::exchange(Paused.Inbox, {}))
      Handle();
  });
}

inline auto OwnershipWorld::cut(const std::string &Left,
                                const std::string &Right, TrueTime Span)
    -> void {
  const auto Key = std::minmax(Left, Right);
  const std::pair<std::string, std::string> Pair(Key.first, Key.second);
  trace("cut " + Left + " " + Right + " " + std::to_string(Span / Millisecond));
  ++Cuts[Pair];
  Queue.after(Span, [=, this] {
    auto Place = Cuts.find(Pair);
    if (Place != Cuts.end() && --Place->second == 0)
      Cuts.erase(Place);
  });
}

inline auto OwnershipWorld::blocked(const std::string &Left,
                                    const std::string &Right) const -> bool {
  if (Cuts.empty())
    return false;
  const auto Key = std::minmax(Left, Right);
  return Cuts.contains({Key.first, Key.second});
}

inline auto OwnershipWorld::heal() -> void {
  Net = Network();
  Faults = PlatformFaults();
  Cuts.clear();
}

/// Carries a message: it may be lost, repeated or late, and overtakes others.
inline auto OwnershipWorld::deliver(const std::string &From,
                                    const std::string &To,
                                    const std::function<void()> &Run) -> void {
  int Copies = Random.chance(Net.Loss) ? 0 : 1;
  if (Random.chance(Net.Repeat))
    ++Copies;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    TrueTime Delay = 300 + static_cast<TrueTime>(Random.below(2500));
    if (Random.chance(Net.Late))
      Delay += static_cast<TrueTime>(
          Random.below(static_cast<std::uint64_t>(Net.LateUpTo)));
    if (!blocked(From, To))
      Queue.after(Delay, Run);
  }
}

inline auto
OwnershipWorld::toInstance(std::size_t Index, std::uint64_t Run,
                           const std::function<void(Instance &)> &Handle)
    -> void {
  Instance &Each = Instances[Index];
  if (!Each.Up || Each.Run != Run)
    return;
  if (Queue.now() < Each.PausedUntil) {
    Each.Inbox.push_back([=, this] { toInstance(Index, Run, Handle); });
    return;
  }
  Handle(Each);
}

inline auto
OwnershipWorld::toTarget(std::size_t Index,
                         const std::function<void(Target &)> &Handle) -> void {
  Target &Each = Targets[Index];
  if (!Each.Up)
    return;
  if (Queue.now() < Each.PausedUntil) {
    Each.Inbox.push_back([=, this] { toTarget(Index, Handle); });
    return;
  }
  Handle(Each);
}

inline auto OwnershipWorld::indexOf(const InstanceId &Id) const
    -> std::optional<std::size_t> {
  for (std::size_t I = 0; I < Instances.size(); ++I)
    if (Instances[I].Id == Id && Instances[I].Up)
      return I;
  return std::nullopt;
}

inline auto OwnershipWorld::tickInstance(std::size_t Index, std::uint64_t Run)
    -> void {
  Instance &Each = Instances[Index];
  if (Each.Run != Run || !Each.Up)
    return;
  if (Queue.now() >= Each.PausedUntil) {
    std::vector<PairCandidate> Others;
    for (std::size_t I = 0; I < Instances.size(); ++I)
      if (I != Index && Instances[I].Up)
        Others.push_back({Instances[I].Id, "rack" + std::to_string(I % 3)});
    Each.Core->setInstances(Others, local(Each));
    perform(Index, Each.Core->tick(local(Each)));
    checkAcknowledged(Each);
    if (Set.Trace)
      if (std::string Now = describe(Each); Now != Each.Shown) {
        Each.Shown = Now;
        trace(Now);
      }
  }
  Queue.after(Set.Tick, [=, this] { tickInstance(Index, Run); });
}

/// Sends actions. An instance that is paused in between sends the rest when it
/// resumes, without checking anything again.
inline auto OwnershipWorld::perform(std::size_t Index, OwnershipActions Actions)
    -> void {
  const std::uint64_t Run = Instances[Index].Run;
  for (OwnershipAction &Action : Actions) {
    Instance &Each = Instances[Index];
    if (Queue.now() >= Each.PausedUntil)
      performNow(Index, Run, std::move(Action));
    else
      Each.Inbox.push_back([=, this, Held = std::move(Action)] {
        performNow(Index, Run, Held);
      });
  }
}

inline auto OwnershipWorld::performNow(std::size_t Index, std::uint64_t Run,
                                       OwnershipAction Action) -> void {
  if (Instances[Index].Run != Run)
    return;
  if (const auto *Link = std::get_if<SendLink>(&Action))
    sendLink(Index, *Link);
  else if (const auto *Lease = std::get_if<SendLease>(&Action))
    sendLease(Index, *Lease);
  else if (const auto *Read = std::get_if<ReadObject>(&Action))
    readObject(Index, *Read);
  else if (const auto *Write = std::get_if<WriteObject>(&Action))
    writeObject(Index, *Write);
}

inline auto OwnershipWorld::sendLink(std::size_t Index, const SendLink &Send)
    -> void {
  const auto To = indexOf(Send.To);
  if (!To)
    return;
  const std::uint64_t Run = Instances[*To].Run;
  const InstanceId From = Instances[Index].Id;
  auto Handle = [=, this, Message = Send.Message] {
    toInstance(*To, Run,
               [=, this](Instance &Each) { receiveLink(Each, From, Message); });
  };
  if (*To == Index) {
    Queue.after(1, Handle);
    return;
  }
  deliver(Instances[Index].Host, Instances[*To].Host, Handle);
}

inline auto OwnershipWorld::receiveLink(Instance &To, const InstanceId &From,
                                        const LinkMessage &Message) -> void {
  const auto Index = static_cast<std::size_t>(&To - Instances.data());
  if (const auto *Beat = std::get_if<RoutingHeartbeat>(&Message)) {
    const RoutingAck Ack = To.Routing->receive(*Beat, local(To));
    perform(Index, {SendLink{From, Ack}});
    checkRouting();
  }
  perform(Index, To.Core->receive(From, Message, local(To)));
}

inline auto OwnershipWorld::sendLease(std::size_t Index, const SendLease &Send)
    -> void {
  const std::uint64_t Run = Instances[Index].Run;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    if (Targets[I].Id != Send.Message.Target)
      continue;
    const std::string Host = Instances[Index].Host;
    deliver(Host, Targets[I].Id.str(), [=, this, Message = Send.Message] {
      toTarget(I, [=, this](Target &Each) {
        const LeaseReply Reply =
            Each.Process->handle(Message, Each.Clock.at(Queue.now()));
        if (!Message.Release.empty())
          Queue.after(static_cast<TrueTime>(Random.below(30 * Millisecond)),
                      [=, this] {
                        if (Targets[I].Process)
                          Targets[I].Process->finishRunning();
                      });
        traceLease(Each, Message, Reply);
        checkGrant(Each);
        deliver(Each.Id.str(), Host, [=, this, Id = Each.Id] {
          toInstance(Index, Run, [=, this](Instance &Back) {
            perform(Index, Back.Core->leaseReply(Id, Reply, local(Back)));
          });
        });
      });
    });
  }
}

inline auto OwnershipWorld::readObject(std::size_t Index,
                                       const ReadObject &Read) -> void {
  const std::uint64_t Run = Instances[Index].Run;
  ReadAnswer Answer;
  TrueTime Delay =
      1 * Millisecond + static_cast<TrueTime>(Random.below(4 * Millisecond));
  if (Faults.Outage || blocked(Instances[Index].Host, "platform")) {
    Delay = Random.chance(0.5) ? Millisecond : Second;
  } else {
    Answer.Answered = true;
    Answer.Found =
        Platform.read(Read.Name, Random.chance(Faults.Stale), Random);
  }
  Queue.after(Delay, [=, this, Name = Read.Name] {
    toInstance(Index, Run, [=, this](Instance &Each) {
      perform(Index, Each.Core->objectRead(Name, Answer, local(Each)));
    });
  });
}

inline auto OwnershipWorld::writeObject(std::size_t Index,
                                        const WriteObject &Write) -> void {
  const std::uint64_t Run = Instances[Index].Run;
  WriteAnswer Answer;
  TrueTime Delay =
      Millisecond + static_cast<TrueTime>(Random.below(8 * Millisecond));
  if (Faults.Outage || blocked(Instances[Index].Host, "platform")) {
    Answer.Outcome = Random.chance(0.5) ? WriteAnswer::Kind::NotSent
                                        : WriteAnswer::Kind::Unknown;
  } else if (Random.chance(Faults.LateEffect)) {
    // The client gives up; the write takes effect later.
    Queue.after(static_cast<TrueTime>(Random.below(5 * Second)),
                [=, this, Copy = Write] { (void)Platform.write(Copy); });
    Delay = 500 * Millisecond;
  } else {
    Answer = Platform.write(Write);
    if (Random.chance(Faults.LostAnswer)) {
      Answer = WriteAnswer();
      Delay = 500 * Millisecond;
    }
  }
  Queue.after(Delay, [=, this, Name = Write.Name] {
    toInstance(Index, Run, [=, this](Instance &Each) {
      perform(Index, Each.Core->objectWritten(Name, Answer, local(Each)));
    });
  });
}

} // namespace buckthornring::test

#include "ownership/OwnershipChecks.inc.h"
