#include "Gateway/FleetMember.h"

#include "IO/BootClock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// A grant lasts 3 s and is renewed every second, so a lost leader has to be
/// replaced within 2 s: three missed answers and the claim.
constexpr Duration ReportInterval = std::chrono::milliseconds(400);
constexpr Duration LeaderSilence = std::chrono::milliseconds(1300);
/// The same for a leader that has never answered this process: it was probably
/// lost before the process started.
constexpr Duration FirstSilence = std::chrono::milliseconds(900);

/// Time without a leader object after the start, so that one instance claims
/// and the others see it.
constexpr Duration LongestStagger = std::chrono::milliseconds(300);

/// Further wait of an instance that is small against the largest one, so that
/// instances of the largest size claim first.
/// Longer than the report interval and LongestStagger, by which the claims of
/// instances differ anyway.
constexpr Duration LongestCapacityDelay = std::chrono::milliseconds(750);
/// Size of the largest instance that is assumed before a leader has told it.
constexpr double AssumedCapacity = 0.5;

/// Factor by which another instance has to be larger to be given the lead, and
/// the time after the claim in which all instances have reported.
constexpr double HandoverFactor = 1.9;
constexpr Duration HandoverAfter = std::chrono::seconds(2);

/// Time for a larger instance to claim before this one may do so again.
constexpr Duration HandoverPause = std::chrono::milliseconds(1500);

/// A leader without contact to the store for this long is replaced.
constexpr Duration StoreLossLimit = std::chrono::milliseconds(800);

/// An instance whose claim was soon replaced does not reach what the others
/// reach, so it leaves the lead to them for a while.
constexpr Duration ShortLead = std::chrono::seconds(10);
constexpr Duration ClaimPause = std::chrono::seconds(8);

/// Time that the store has to tell a change that a peer has seen already.
constexpr Duration BehindLimit = std::chrono::milliseconds(400);

/// Time in which loads are gathered for the neighbours. Targets change speed
/// and queue several times a second.
constexpr Duration LoadInterval = std::chrono::milliseconds(40);

/// Keys told in one report; a datagram has to fit into one packet.
constexpr std::size_t MaxKeys = 150;

auto leaderJson(const LeaderInfo &Leader) -> Json {
  return {{"instance", Leader.Instance.str()},
          {"process", Leader.Process},
          {"address", Leader.Address}};
}

auto parseLeader(const StoredObject &Object) -> Result<LeaderInfo> {
  try {
    return LeaderInfo{
        InstanceId(Object.Value.at("instance").get<std::string>()),
        Object.Value.at("process").get<std::string>(),
        Object.Value.at("address").get<std::string>(), Object.Revision};
  } catch (const Json::exception &Failure) {
    return Error(Failure.what());
  }
}

} // namespace

FleetMember::FleetMember(boost::asio::io_context &Context, FleetContext Around,
                         std::uint64_t Seed)
    : Around(std::move(Around)),
      Questions(Context, this->Around.Requests.Rates,
                [this](const RateQuestion &Question) {
                  return sendQuestion(Question);
                }),
      Timer(Context), ClaimTimer(Context), LoadTimer(Context), Random(Seed) {}

auto FleetMember::scheduleReport() -> void {
  Timer.expires_after(ReportInterval);
  Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (Cancelled)
      return;
    sendReport();
    considerClaim(bootNow());
    scheduleReport();
  });
}

auto FleetMember::compose(TimePoint Now) -> FleetReport {
  FleetReport Report;
  Report.Instance = Around.Self.Instance;
  Report.Process = Around.Self.Process;
  Report.DataCentre = Around.DataCentre;
  Report.Leader = Current;
  Report.StoreReachable = Around.StoreReachable();
  Report.Leaving = Leaving;
  Report.NeighboursKnown = NeighboursVersion;
  Report.Seen = Around.Seen();
  // An instance that leaves the lead to others must not be offered it.
  Report.Capacity = Now < NoClaimBefore ? 0 : Around.Capacity;
  const Duration Span =
      ReportedAt == LongAgo ? ReportInterval : Now - ReportedAt;
  Report.SpanMs = static_cast<std::uint32_t>(Span.count() / 1000);
  ReportedAt = Now;
  Report.Demand = Around.Requests.Rates.takeDemand();
  for (const TargetId &Id : std::exchange(Around.Requests.OwnersSeen, {}))
    if (const TargetPtr Target = Around.Requests.Targets.find(Id))
      if (const auto Work = Target->Load.usualWork())
        Report.WorkMs[Id] = static_cast<std::uint32_t>(Work->count() / 1000);
  for (auto &[Id, Keys] : Around.Requests.KeysSeen) {
    if (Keys.size() > MaxKeys)
      Keys.resize(MaxKeys);
    if (!Keys.empty())
      Report.Keys[Id] = std::exchange(Keys, {});
  }
  return Report;
}

auto FleetMember::sendReport() -> void {
  const TimePoint Now = bootNow();
  if (Around.Lead.leading()) {
    applyReply(Around.Lead.report(compose(Now), "", Around.StoreReachable()));
    return considerHandover(Now);
  }
  if (Current.Term != 0)
    Around.Peers.send(Current.Address, compose(Now));
}

auto FleetMember::received(const FleetMessage &Message, const std::string &From)
    -> void {
  if (const auto *Report = std::get_if<FleetReport>(&Message))
    gotReport(*Report, From);
  else if (const auto *Reply = std::get_if<FleetReply>(&Message))
    gotReply(*Reply);
  else if (const auto *Notice = std::get_if<GrantNotice>(&Message))
    gotNotice(*Notice);
  else if (const auto *Answer = std::get_if<RateAnswer>(&Message))
    Questions.gotAnswer(*Answer);
  else if (const auto *Loads = std::get_if<LoadNotice>(&Message))
    gotLoads(*Loads);
  else if (Around.Requests.Active)
    Around.Peers.send(From,
                      Around.Lead.takeRate(std::get<RateQuestion>(Message),
                                           Around.Requests.Active->Config));
}

auto FleetMember::scheduleLoadNotice() -> void {
  if (Neighbours.empty())
    return Around.Requests.LoadsSeen.clear();
  if (std::exchange(LoadArmed, true))
    return;
  // With many neighbours each one tells less often, so that the messages that
  // an instance receives do not grow with their number.
  const auto Pause = std::max<std::size_t>(1, Neighbours.size() / 4);
  LoadTimer.expires_after(LoadInterval * Pause);
  LoadTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    LoadArmed = false;
    if (!Cancelled)
      sendLoads();
  });
}

auto FleetMember::sendLoads() -> void {
  Around.Peers.sendAll(
      Neighbours, LoadNotice{std::exchange(Around.Requests.LoadsSeen, {})});
}

auto FleetMember::gotLoads(const LoadNotice &Notice) -> void {
  const TimePoint Now = bootNow();
  for (const auto &[Id, Load] : Notice.Loads)
    if (const TargetPtr Target = Around.Requests.Targets.find(Id))
      Target->Load.reported(Load, Now);
  Around.Requests.Waiting.serve();
}

auto FleetMember::sendQuestion(const RateQuestion &Question) -> bool {
  if (Current.Term == 0)
    return false;
  if (Around.Lead.leading())
    Questions.gotAnswer(
        Around.Lead.takeRate(Question, Around.Requests.Active->Config));
  else
    Around.Peers.send(Current.Address, Question);
  return true;
}

auto FleetMember::gotReport(const FleetReport &Report, const std::string &From)
    -> void {
  // The sender may know a newer leader than this instance, which may be cut
  // off from the store.
  if (Report.Leader.Term > Current.Term)
    follow(Report.Leader);
  if (!Around.Lead.leading())
    return;
  compareSeen(Report.Seen, From);
  Around.Peers.send(From,
                    Around.Lead.report(Report, From, Around.StoreReachable()));
}

auto FleetMember::gotReply(const FleetReply &Reply) -> void {
  if (Reply.Leader.Term < Current.Term)
    return;
  if (Reply.Leader.Term > Current.Term)
    follow(Reply.Leader);
  if (Around.Lead.leading())
    return;
  const TimePoint Now = bootNow();
  LastReply = Now;
  Heard = true;
  if (Reply.Resigned) {
    Resigned = true;
    return considerClaim(Now);
  }
  if (Reply.StoreReachable)
    StoreLostAtLeader = LongAgo;
  else if (StoreLostAtLeader == LongAgo)
    StoreLostAtLeader = Now;
  applyReply(Reply);
  compareSeen(Reply.Seen, Reply.SeenFrom);
}

auto FleetMember::applyReply(const FleetReply &Reply) -> void {
  if (Reply.NeighboursVersion != NeighboursVersion) {
    NeighboursVersion = Reply.NeighboursVersion;
    Neighbours = Reply.Neighbours;
  }
  LargestCapacity = Reply.LargestCapacity;
  if (!Reply.PartsKnown)
    return;
  Around.UseRelay(Reply.Relay);
  Around.Requests.Targets.setFleetSize({Reply.Instances, Reply.InDataCentre});
  Around.Requests.Rates.setParts(Reply.RateParts, Reply.OtherParts,
                                 Reply.Instances, bootNow());
}

auto FleetMember::gotNotice(const GrantNotice &Notice) -> void {
  for (const auto &[Id, Fences] : Notice.Fences) {
    const auto View = Around.Requests.Ranges.find(Id);
    if (View == Around.Requests.Ranges.end())
      continue;
    for (const std::uint64_t Fence : Fences)
      View->second.Moving.erase(Fence);
  }
  Around.Requests.Waiting.serve();
}

auto FleetMember::compareSeen(const SeenChanges &Others,
                              const std::string &From) -> void {
  const TimePoint Now = bootNow();
  if (Around.Knows(Others)) {
    BehindSince = LongAgo;
    return;
  }
  if (BehindSince == LongAgo)
    BehindSince = Now;
  if (Now - BehindSince < BehindLimit || From.empty())
    return;
  BehindSince = Now;
  Around.Behind(Others, From);
}

auto FleetMember::leaderChanged(const StoredObject *Object) -> void {
  if (!Object || Object->Deleted) {
    if (Around.Lead.leading())
      Around.Lead.stop();
    Current = LeaderInfo();
    return;
  }
  auto Parsed = parseLeader(*Object);
  if (!Parsed) {
    Around.Requests.Events.write(EventLine("leader-unreadable")
                                     .field("reason", Parsed.error().message())
                                     .field("revision", Object->Revision));
    return;
  }
  if (Parsed->Term > Current.Term)
    follow(std::move(Parsed).value());
}

auto FleetMember::follow(LeaderInfo Next) -> void {
  const TimePoint Now = bootNow();
  const LeaderInfo Previous = std::exchange(Current, std::move(Next));
  LastReply = Now;
  ClaimAt = LongAgo;
  StoreLostAtLeader = LongAgo;
  Heard = false;
  Resigned = false;
  const bool Self = Current.Process == Around.Self.Process;
  Around.Requests.Events.write(EventLine("leader-changed")
                                   .field("leader", Current.Instance.str())
                                   .field("term", Current.Term)
                                   .field("self", Self));
  if (Self && !Leaving) {
    Around.Lead.start(Current, ClaimedAt);
    return Around.Started();
  }
  considerClaim(Now);
  if (Around.Lead.leading()) {
    if (Now - ClaimedAt < ShortLead)
      NoClaimBefore = Now + ClaimPause;
    Around.Lead.stop();
  }
  // The previous leader may be cut off from the store.
  if (!Previous.Address.empty() && Previous.Address != Around.Self.Address)
    Around.Peers.send(Previous.Address, compose(Now));
}

auto FleetMember::considerClaim(TimePoint Now) -> void {
  if (Around.Lead.leading() || Leaving || Claiming || !Around.Own.loaded())
    return;
  if (!Around.StoreReachable()) {
    // What cuts an instance off from the store may cut it off from the leader,
    // so the leader's silence counts from the return only.
    LastReply = Now;
    ClaimAt = LongAgo;
    return;
  }
  if (Now < NoClaimBefore)
    return;
  // An earlier process of this instance led, so nobody does.
  const bool Orphaned = Current.Instance == Around.Self.Instance;
  const bool Silent = Resigned || Orphaned ||
                      Now - LastReply > (Heard ? LeaderSilence : FirstSilence);
  const bool CutOff =
      StoreLostAtLeader != LongAgo && Now - StoreLostAtLeader > StoreLossLimit;
  if (Current.Term != 0 && !Silent && !CutOff) {
    ClaimAt = LongAgo;
    return;
  }
  if (ClaimAt == LongAgo) {
    const Duration Stagger = claimDelay();
    ClaimAt = Now + Stagger;
    // One who knows for certain goes first.
    if (Orphaned)
      return claim();
    ClaimTimer.expires_after(Stagger);
    ClaimTimer.async_wait([this](const boost::system::error_code &Cancelled) {
      if (!Cancelled)
        considerClaim(bootNow());
    });
    return;
  }
  if (Now >= ClaimAt)
    claim();
}

auto FleetMember::considerHandover(TimePoint Now) -> void {
  if (Now - ClaimedAt < HandoverAfter ||
      LargestCapacity < HandoverFactor * Around.Capacity)
    return;
  Around.Requests.Events.write(EventLine("lead-handed-over")
                                   .field("own_capacity", Around.Capacity)
                                   .field("largest", LargestCapacity));
  NoClaimBefore = Now + HandoverPause;
  Around.Lead.resign();
}

auto FleetMember::claimDelay() -> Duration {
  const double Largest = LargestCapacity > 0
                             ? LargestCapacity
                             : std::max(AssumedCapacity, Around.Capacity);
  const double Smaller = 1 - std::min(1.0, Around.Capacity / Largest);
  return std::chrono::duration_cast<Duration>(LongestStagger * Random.unit() +
                                              LongestCapacityDelay * Smaller);
}

auto FleetMember::claim() -> void {
  Claiming = true;
  ClaimedAt = bootNow();
  ClaimAt = LongAgo;
  Around.Store.write(
      Around.Requests.Protocol.Kinds.Own, LeaderObject, Current.Term,
      leaderJson(Around.Self), [this](const StoreWrite &Answer) {
        Claiming = false;
        Around.Requests.Events.write(
            EventLine("lead-claimed")
                .field("status", StoreStatusNames.name(Answer.Status))
                .field("revision",
                       Answer.Object ? Answer.Object->Revision : 0));
        if (Answer.Object)
          leaderChanged(&*Answer.Object);
      });
}

auto FleetMember::leave() -> void {
  Leaving = true;
  if (!Around.Lead.leading())
    return sendReport();
  Around.Lead.resign();
}

} // namespace buckthornring
