// Second part of the definitions of OwnershipWorld: requests to the unverified
// service, checks and observations.
#include "ownership/OwnershipWorld.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace buckthornring::test {

auto OwnershipWorld::pollHealth(std::size_t Index) -> void {
  const Target &Each = Targets[Index];
  if (Each.Up && Queue.now() >= Each.PausedUntil)
    for (std::size_t I = 0; I < Instances.size(); ++I) {
      const std::uint64_t Run = Instances[I].Run;
      deliver(Each.Id.str(), Instances[I].Host, [=, this, Id = Each.Id] {
        toInstance(I, Run, [=, this](Instance &To) {
          To.Core->targetAlive(Id, local(To));
        });
      });
    }
  Queue.after(100 * Millisecond, [=, this] { pollHealth(Index); });
}

/// Sends one request if the routing lease allows it. It stays in flight for at
/// most the maximum deadline on the instance's clock.
auto OwnershipWorld::sendRequests(std::size_t Index, std::uint64_t Run)
    -> void {
  Instance &Each = Instances[Index];
  if (Each.Run != Run || !Each.Up)
    return;
  const ServiceId Service("u");
  const auto Slice =
      static_cast<std::uint32_t>(Random.below(Set.UnverifiedSlices));
  if (Queue.now() >= Each.PausedUntil &&
      Each.Routing->maySend(Service, Slice, false, local(Each))) {
    const TargetId &Owner = Each.Routing->map(Service)->at(Slice).Owner;
    for (std::size_t I = 0; I < Targets.size(); ++I) {
      if (Targets[I].Id != Owner)
        continue;
      checkSend(Slice, I);
      Each.Routing->begin(Service, Slice);
      auto Open =
          std::make_shared<Request>(Request{Slice, I, Index, Run, true});
      Requests.push_back(Open);
      const auto Longest = static_cast<std::uint64_t>(
          static_cast<double>(Set.MaxDeadline.count()) / Each.Clock.Rate);
      const TrueTime Span = Random.chance(0.1)
                                ? static_cast<TrueTime>(Longest)
                                : static_cast<TrueTime>(Random.below(Longest));
      Queue.after(Span, [=, this] {
        Open->Open = false;
        toInstance(Index, Run,
                   [=](Instance &To) { To.Routing->end(Service, Slice); });
      });
    }
  }
  std::erase_if(Requests, [](const auto &Other) { return !Other->Open; });
  Queue.after(Set.RequestEvery, [=, this] { sendRequests(Index, Run); });
}

auto OwnershipWorld::fail(const std::string &What) -> void {
  if (Violation.empty())
    Violation = "t=" + std::to_string(Queue.now() / Millisecond) + "ms " + What;
}

/// A lease message was applied: nobody else may run the target's slices.
auto OwnershipWorld::checkGrant(const Target &Of) -> void {
  const auto Index = static_cast<std::size_t>(&Of - Targets.data());
  const auto Held = Targets[Index].Process->held(Of.Clock.at(Queue.now()));
  for (const auto &[Slice, At] : Held) {
    for (std::size_t I = 0; I < Targets.size(); ++I)
      if (I != Index && Targets[I].Verified && Targets[I].Process &&
          Targets[I].Process->runs(Slice, Targets[I].Clock.at(Queue.now())))
        fail("slice " + std::to_string(Slice) + " is held by " + Of.Id.str() +
             " and " + Targets[I].Id.str());
    auto [Place, Added] = HighestHeld.try_emplace(Slice, At, Index);
    auto &[Highest, Holder] = Place->second;
    if (At < Highest || (At == Highest && Holder != Index))
      fail("epoch of slice " + std::to_string(Slice) + " did not rise: " +
           std::to_string(At.Term) + "." + std::to_string(At.Sequence));
    if (At > Highest) {
      Highest = At;
      Holder = Index;
    }
  }
}

/// A request to an unverified target starts: none is in flight elsewhere.
auto OwnershipWorld::checkSend(std::uint32_t Slice, std::size_t To) -> void {
  for (const auto &Each : Requests)
    if (Each->Open && Each->Slice == Slice && Each->Target != To)
      fail("unverified slice " + std::to_string(Slice) + " is sent to " +
           Targets[To].Id.str() + " while a request runs at " +
           Targets[Each->Target].Id.str());
}

/// No two running instances may send the same unverified slice to two targets.
auto OwnershipWorld::checkRouting() -> void {
  const ServiceId Service("u");
  std::map<std::uint32_t, TargetId> Owners;
  for (const Instance &Each : Instances) {
    if (!Each.Up || Queue.now() < Each.PausedUntil)
      continue;
    for (std::uint32_t Slice = 0; Slice < Set.UnverifiedSlices; ++Slice) {
      if (!Each.Routing->maySend(Service, Slice, false, local(Each)))
        continue;
      const TargetId &Owner = Each.Routing->map(Service)->at(Slice).Owner;
      const auto [Place, Added] = Owners.try_emplace(Slice, Owner);
      if (Place->second != Owner)
        fail("instances send unverified slice " + std::to_string(Slice) +
             " to " + Owner.str() + " and " + Place->second.str());
    }
  }
}

/// An acknowledged assignment is never replaced by an older one.
auto OwnershipWorld::checkAcknowledged(Instance &Of) -> void {
  for (const char *Name : {"v", "u"}) {
    const ServiceId Service(Name);
    const SliceMap *Map = Of.Core->map(Service);
    if (Map == nullptr || Of.Core->term().role() != TermRole::Leader ||
        !Of.Core->term().mayMove(local(Of)))
      continue;
    for (std::uint32_t Slice = 0; Slice < Map->slices(); ++Slice) {
      if (!Of.Core->acknowledged(Service, Slice))
        continue;
      const SliceAssignment &Now = Map->at(Slice);
      auto &Known = Acknowledged[{Name, Slice}];
      const std::uint64_t Term = Of.Core->term().record().Term;
      // A replaced leader that does not know it yet adds nothing.
      if (Term < Known.Term)
        continue;
      if (Now.At < Known.At || (Now.At == Known.At && Now.Owner != Known.Owner))
        fail("acknowledged assignment of slice " + std::to_string(Slice) +
             " of " + Name + " was lost: " + Known.Owner.str() + " " +
             std::to_string(Known.At.Term) + "." +
             std::to_string(Known.At.Sequence) + ", now " + Now.Owner.str() +
             " " + std::to_string(Now.At.Term) + "." +
             std::to_string(Now.At.Sequence) + " at " + Of.Id.str());
      Known = {Now.At, Now.Owner, Term};
    }
  }
}

auto OwnershipWorld::leader() const -> std::optional<std::size_t> {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Instances.size(); ++I) {
    if (!Instances[I].Up ||
        Instances[I].Core->term().role() != TermRole::Leader)
      continue;
    if (!Best || Instances[I].Core->term().record().Term >
                     Instances[*Best].Core->term().record().Term)
      Best = I;
  }
  return Best;
}

auto OwnershipWorld::ownerOf(std::uint32_t Slice)
    -> std::optional<std::size_t> {
  for (std::size_t I = 0; I < Targets.size(); ++I)
    if (Targets[I].Verified && Targets[I].Process &&
        Queue.now() >= Targets[I].PausedUntil &&
        Targets[I].Process->runs(Slice, Targets[I].Clock.at(Queue.now())))
      return I;
  return std::nullopt;
}

auto OwnershipWorld::served() -> std::uint32_t {
  std::uint32_t Mask = 0;
  for (std::uint32_t Slice = 0; Slice < Set.VerifiedSlices; ++Slice)
    if (ownerOf(Slice))
      Mask |= 1U << Slice;
  return Mask;
}

auto OwnershipWorld::routed() const -> std::uint32_t {
  std::uint32_t Mask = 0;
  for (std::uint32_t Slice = 0; Slice < Set.UnverifiedSlices; ++Slice)
    if (std::any_of(Instances.begin(), Instances.end(), [&](const auto &Each) {
          return Each.Up && Each.Routing->maySend(ServiceId("u"), Slice, false,
                                                  local(Each));
        }))
      Mask |= 1U << Slice;
  return Mask;
}

auto OwnershipWorld::describe(const Instance &Of) const -> std::string {
  const TermKeeper &Term = Of.Core->term();
  static constexpr std::array<const char *, 3> Roles = {"follower", "deputy",
                                                        "leader"};
  return Of.Id.str() + " " + Roles[static_cast<std::size_t>(Term.role())] +
         " term " + std::to_string(Term.record().Term) + "/" +
         std::to_string(Term.highestTerm()) + " leader " +
         Term.record().Leader.str() + " deputy " + Term.record().Deputy.str() +
         " move " + std::to_string(Term.mayMove(local(Of))) + " renew " +
         std::to_string(Term.mayRenew(local(Of))) + " waiting v " +
         std::to_string(Of.Core->waiting(ServiceId("v"))) + " u " +
         std::to_string(Of.Core->waiting(ServiceId("u"))) +
         (Term.silentAt() ? "" : " unbounded");
}

auto OwnershipWorld::describe() const -> std::string {
  std::string Text;
  for (const Instance &Each : Instances)
    if (Each.Up)
      Text += describe(Each) + "\n";
  return Text;
}

auto OwnershipWorld::trace(const std::string &What) const -> void {
  if (Set.Trace)
    std::fprintf(stderr, "%8.3f %s\n",
                 static_cast<double>(Queue.now()) / Second, What.c_str());
}

auto OwnershipWorld::traceLease(const Target &Of, const LeaseMessage &Message,
                                const LeaseReply &Reply) const -> void {
  if (!Set.Trace)
    return;
  std::string Text = Of.Id.str() + " < " + Message.Sender.str() + " term " +
                     std::to_string(Message.Term) + " seq " +
                     std::to_string(Message.Sequence) + " lease " +
                     std::to_string(Message.LeaseUs / 1000) + " " +
                     std::string(LeaseRefusalNames.name(Reply.Refusal));
  for (const SliceEpoch &Each : Message.Grant)
    Text += " +" + std::to_string(Each.Slice) + "@" +
            std::to_string(Each.At.Term) + "." +
            std::to_string(Each.At.Sequence);
  for (const SliceEpoch &Each : Message.Release)
    Text += " -" + std::to_string(Each.Slice);
  trace(Text);
}

} // namespace buckthornring::test
