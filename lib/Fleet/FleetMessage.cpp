#include "Fleet/FleetMessage.h"

#include "Common/JsonText.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

// Field names are one letter long, since messages are sent between data centres
// several times a second.

auto encodeLeader(const LeaderInfo &Leader) -> Json {
  return Json::array(
      {Leader.Instance.str(), Leader.Process, Leader.Address, Leader.Term});
}

auto decodeLeader(const Json &Value) -> LeaderInfo {
  return {InstanceId(Value.at(0).get<std::string>()),
          Value.at(1).get<std::string>(), Value.at(2).get<std::string>(),
          Value.at(3).get<std::uint64_t>()};
}

auto encodeSeen(const SeenRevisions &Seen) -> Json {
  return Json::array({Seen.Configuration, Seen.Targets, Seen.Evacuations});
}

auto decodeSeen(const Json &Value) -> SeenRevisions {
  return {Value.at(0).get<std::uint64_t>(), Value.at(1).get<std::uint64_t>(),
          Value.at(2).get<std::uint64_t>()};
}

template <class Id, class Value>
auto encodeMap(const std::map<Id, Value> &Entries) -> Json {
  Json Out = Json::object();
  for (const auto &[Name, Item] : Entries)
    Out[Name.str()] = Item;
  return Out;
}

template <class Id, class Value>
auto decodeMap(const Json &Object) -> std::map<Id, Value> {
  std::map<Id, Value> Out;
  for (const auto &[Name, Item] : Object.items())
    Out[Id(Name)] = Item.template get<Value>();
  return Out;
}

/// Scales shares to integers of four decimal digits, which is precise enough; a
/// floating-point value takes twice the bytes.
auto scaledShares(const std::map<WorkspaceId, double> &Shares)
    -> std::map<WorkspaceId, std::uint32_t> {
  std::map<WorkspaceId, std::uint32_t> Out;
  for (const auto &[Id, Share] : Shares)
    Out[Id] = static_cast<std::uint32_t>(Share * 10'000);
  return Out;
}

auto encodeNotices(const std::map<TargetId, OwnerNotice> &Notices) -> Json {
  Json Out = Json::object();
  for (const auto &[Id, Notice] : Notices)
    Out[Id.str()] =
        Json::array({Notice.StartedAtMs, Notice.Leaving, Notice.PauseMs});
  return Out;
}

auto decodeNotices(const Json &Object) -> std::map<TargetId, OwnerNotice> {
  std::map<TargetId, OwnerNotice> Out;
  for (const auto &[Id, Notice] : Object.items())
    Out[TargetId(Id)] = {Notice.at(0).get<std::int64_t>(),
                         Notice.at(1).get<bool>(),
                         Notice.at(2).get<std::uint32_t>()};
  return Out;
}

auto encodeOwnerFailures(const std::map<TargetId, OutcomeCounts> &Outcomes)
    -> Json {
  Json Out = Json::object();
  for (const auto &[Id, Counts] : Outcomes)
    Out[Id.str()] = Json::array({Counts.Successes, Counts.Failures});
  return Out;
}

auto decodeOwnerFailures(const Json &Object)
    -> std::map<TargetId, OutcomeCounts> {
  std::map<TargetId, OutcomeCounts> Out;
  for (const auto &[Id, Counts] : Object.items())
    Out[TargetId(Id)] = {integer<std::uint32_t>(Counts.at(0)),
                         integer<std::uint32_t>(Counts.at(1))};
  return Out;
}

using CrashAge = std::pair<std::uint32_t, std::uint64_t>;

/// Returns the latest crashes of a suspect that fit into a message, each with
/// its age and the incarnation of the target.
auto latestCrashes(const SuspectNotice::Suspect &Suspect)
    -> std::vector<CrashAge> {
  std::vector<CrashAge> Crashes;
  for (const auto &[Incarnation, AgeMs] : Suspect.CrashAgesMs)
    Crashes.emplace_back(AgeMs, Incarnation);
  std::sort(Crashes.begin(), Crashes.end());
  if (Crashes.size() > MaxCrashesInMessage)
    Crashes.resize(MaxCrashesInMessage);
  return Crashes;
}

/// A suspect is [request, [incarnation, age, ...]], with the age of its
/// completion at the end, if any.
auto encodeSuspects(const SuspectNotice &Notice) -> Json {
  Json Out = Json::array();
  for (const SuspectNotice::Suspect &Suspect : Notice.Suspects) {
    if (Out.size() >= MaxSuspectsInMessage)
      break;
    Json Crashes = Json::array();
    for (const auto &[AgeMs, Incarnation] : latestCrashes(Suspect)) {
      Crashes.push_back(Incarnation);
      Crashes.push_back(AgeMs);
    }
    Json Item = Json::array({Suspect.Request, std::move(Crashes)});
    if (Suspect.CompletedAgeMs)
      Item.push_back(*Suspect.CompletedAgeMs);
    Out.push_back(std::move(Item));
  }
  return Out;
}

auto decodeSuspect(const Json &Value) -> SuspectNotice::Suspect {
  SuspectNotice::Suspect Suspect;
  Suspect.Request = integer<std::uint64_t>(Value.at(0));
  const Json &Crashes = Value.at(1);
  if (!Crashes.is_array() || Crashes.size() > 2 * MaxCrashesInMessage ||
      Value.size() > 3)
    throw Json::type_error::create(302, "suspect is too large", &Value);
  for (std::size_t Index = 0; Index < Crashes.size(); Index += 2)
    Suspect.CrashAgesMs[integer<std::uint64_t>(Crashes.at(Index))] =
        integer<std::uint32_t>(Crashes.at(Index + 1));
  if (Value.size() == 3)
    Suspect.CompletedAgeMs = integer<std::uint32_t>(Value.at(2));
  return Suspect;
}

auto decodeSuspects(const Json &Value) -> SuspectNotice {
  if (!Value.is_array() || Value.size() > MaxSuspectsInMessage)
    throw Json::type_error::create(302, "too many suspects", &Value);
  SuspectNotice Notice;
  for (const Json &Item : Value)
    Notice.Suspects.push_back(decodeSuspect(Item));
  return Notice;
}

/// Adds the fields of suspects, which are left out when there are none.
template <class Message>
auto addSuspects(const Message &From, Json &Out) -> void {
  if (From.SuspectsDigest != 0)
    Out["v"] = From.SuspectsDigest;
  if (!From.Suspects.Suspects.empty())
    Out["u"] = encodeSuspects(From.Suspects);
}

template <class Message>
auto readSuspects(const Json &Value, Message &To) -> void {
  if (Value.contains("v"))
    To.SuspectsDigest = integer<std::uint64_t>(Value.at("v"));
  if (Value.contains("u"))
    To.Suspects = decodeSuspects(Value.at("u"));
}

/// Most services with rollouts and routes of one in a message, which has to fit
/// into one packet.
constexpr std::size_t MaxRolloutsInMessage = 8;
constexpr std::size_t MaxRolloutRoutes = 8;

/// Outcomes of a route are [requests, failures, [bucket, count, ...]].
auto encodeOutcomes(const OutcomesByRoute &Routes) -> Json {
  Json Out = Json::object();
  for (const auto &[Route, Outcomes] : Routes) {
    Json Times = Json::array();
    for (std::size_t Index = 0; Index < TimeCounts::BucketCount; ++Index)
      if (const std::uint32_t Count = Outcomes.Times.Buckets.at(Index)) {
        Times.push_back(Index);
        Times.push_back(Count);
      }
    Out[Route] =
        Json::array({Outcomes.Requests, Outcomes.Failures, std::move(Times)});
  }
  return Out;
}

auto decodeOutcomes(const Json &Value) -> OutcomesByRoute {
  if (!Value.is_object() || Value.size() > MaxRolloutRoutes)
    throw Json::type_error::create(302, "too many routes", &Value);
  OutcomesByRoute Out;
  for (const auto &[Route, Item] : Value.items()) {
    RolloutOutcomes &Outcomes = Out[Route];
    Outcomes.Requests = integer<std::uint32_t>(Item.at(0));
    Outcomes.Failures = integer<std::uint32_t>(Item.at(1));
    const Json &Times = Item.at(2);
    for (std::size_t Index = 0; Index < Times.size(); Index += 2) {
      const auto Bucket = integer<std::uint32_t>(Times.at(Index));
      if (Bucket >= TimeCounts::BucketCount)
        throw Json::out_of_range::create(401, "no such bucket", &Times);
      Outcomes.Times.Buckets.at(Bucket) =
          integer<std::uint32_t>(Times.at(Index + 1));
    }
  }
  return Out;
}

auto decodeStage(const Json &Value) -> RolloutStage {
  const auto Stage = integer<std::uint32_t>(Value);
  if (Stage >= RolloutStageNames.size())
    throw Json::out_of_range::create(401, "no such stage", &Value);
  return static_cast<RolloutStage>(Stage);
}

auto encodeRollouts(const std::map<ServiceId, RolloutReport> &Reports) -> Json {
  Json Out = Json::object();
  for (const auto &[Id, Report] : Reports) {
    if (Out.size() >= MaxRolloutsInMessage)
      break;
    Json Item =
        Json::array({Report.Order, static_cast<std::uint32_t>(Report.Stage),
                     Report.Requests, Report.SentToNew, Report.RunningAtOld,
                     encodeOutcomes(Report.Old), encodeOutcomes(Report.New)});
    if (Report.Age) {
      // 49 days are the longest time of a message.
      Item.push_back(std::min<Duration::rep>(
          *Report.Age / std::chrono::milliseconds(1), UINT32_MAX));
      Item.push_back(Report.SeenRevision);
    }
    Out[Id.str()] = std::move(Item);
  }
  return Out;
}

auto encodeRollouts(const std::map<ServiceId, RolloutNotice> &Notices) -> Json {
  Json Out = Json::object();
  for (const auto &[Id, Notice] : Notices) {
    if (Out.size() >= MaxRolloutsInMessage)
      break;
    Out[Id.str()] = Json::array({Notice.Order, Notice.To,
                                 static_cast<std::uint32_t>(Notice.Stage),
                                 Notice.SharePpm, Notice.Period});
  }
  return Out;
}

auto checkRollouts(const Json &Value) -> void {
  if (!Value.is_object() || Value.size() > MaxRolloutsInMessage)
    throw Json::type_error::create(302, "too many rollouts", &Value);
}

auto decodeRolloutReports(const Json &Value)
    -> std::map<ServiceId, RolloutReport> {
  checkRollouts(Value);
  std::map<ServiceId, RolloutReport> Out;
  for (const auto &[Id, Item] : Value.items()) {
    RolloutReport &Report = Out[ServiceId(Id)];
    Report.Order = integer<std::uint64_t>(Item.at(0));
    Report.Stage = decodeStage(Item.at(1));
    Report.Requests = integer<std::uint32_t>(Item.at(2));
    Report.SentToNew = integer<std::uint32_t>(Item.at(3));
    Report.RunningAtOld = integer<std::uint32_t>(Item.at(4));
    Report.Old = decodeOutcomes(Item.at(5));
    Report.New = decodeOutcomes(Item.at(6));
    if (Item.size() < 9)
      continue; // Of a build that reports no time.
    const std::chrono::milliseconds Age(integer<std::uint32_t>(Item.at(7)));
    Report.Age = Age;
    Report.SeenRevision = integer<std::uint64_t>(Item.at(8));
  }
  return Out;
}

auto decodeRolloutNotices(const Json &Value)
    -> std::map<ServiceId, RolloutNotice> {
  checkRollouts(Value);
  std::map<ServiceId, RolloutNotice> Out;
  for (const auto &[Id, Item] : Value.items())
    Out[ServiceId(Id)] = {
        integer<std::uint64_t>(Item.at(0)), Item.at(1).get<std::string>(),
        decodeStage(Item.at(2)), integer<std::uint32_t>(Item.at(3)),
        integer<std::uint32_t>(Item.at(4))};
  return Out;
}

auto encode(const FleetReport &Report) -> Json {
  Json Out = {{"t", 1},
              {"i", Report.Instance.str()},
              {"p", Report.Process},
              {"d", Report.DataCentre.str()},
              {"l", encodeLeader(Report.Leader)},
              {"s", Report.StoreReachable},
              {"x", Report.Leaving},
              {"h", Report.KnownNeighboursVersion},
              {"c", encodeSeen(Report.Seen)},
              {"m", Report.CountPeriodMs},
              {"g", Report.Capacity},
              {"w", encodeMap(Report.Demand)},
              {"k", encodeMap(Report.Keys)},
              {"b", encodeMap(Report.ProcessingTimeMs)}};
  if (!Report.OwnerNotices.empty())
    Out["n"] = encodeNotices(Report.OwnerNotices);
  if (!Report.OwnerFailures.empty())
    Out["f"] = encodeOwnerFailures(Report.OwnerFailures);
  if (!Report.Rollouts.empty())
    Out["o"] = encodeRollouts(Report.Rollouts);
  addSuspects(Report, Out);
  return Out;
}

auto encode(const FleetReply &Reply) -> Json {
  Json Out = {{"t", 2},
              {"l", encodeLeader(Reply.Leader)},
              {"s", Reply.StoreReachable},
              {"e", Reply.Resigned},
              {"c", encodeSeen(Reply.Seen)},
              {"f", Reply.SeenByAddress},
              {"n", Reply.Instances},
              {"z", Reply.InstancesInDataCentre},
              {"g", Reply.LargestCapacity},
              {"y", Reply.Relay},
              {"b", Reply.BackupRelay},
              {"k", Reply.RateKeeper},
              {"r", Reply.RateHolders},
              {"h", Reply.NeighboursVersion},
              {"a", Reply.Neighbours},
              {"j", Reply.Contacts},
              {"q", Reply.SharesValid},
              {"w", encodeMap(scaledShares(Reply.WorkspaceShares))},
              {"o", static_cast<std::uint32_t>(Reply.DefaultShare * 10'000)}};
  if (!Reply.Rollouts.empty())
    Out["d"] = encodeRollouts(Reply.Rollouts);
  addSuspects(Reply, Out);
  return Out;
}

auto encode(const GrantNotice &Notice) -> Json {
  return {{"t", 3}, {"r", Notice.Term}, {"g", encodeMap(Notice.Fences)}};
}

auto encode(const RateReserveRequest &Request) -> Json {
  return {{"t", 4},
          {"w", Request.Workspace.str()},
          {"n", Request.Wanted},
          {"i", Request.Number}};
}

auto encode(const RateReserveReply &Reply) -> Json {
  return {{"t", 5},
          {"w", Reply.Workspace.str()},
          {"n", Reply.Granted},
          {"i", Reply.Number}};
}

constexpr double SlownessSteps = 100;

auto encode(const LoadNotice &Notice) -> Json {
  Json Loads = Json::object();
  for (const auto &[Id, Known] : Notice.Loads) {
    const LoadReport &Load = Known.Load;
    Loads[Id.str()] =
        Json::array({Load.Running, Load.Waiting, Load.Slots,
                     static_cast<std::uint32_t>(Load.Slowness * SlownessSteps),
                     std::max<std::int64_t>(0, Known.Age.count() / 1000)});
  }
  return {{"t", 6}, {"l", std::move(Loads)}};
}

auto encode(const SuspectNotice &Notice) -> Json {
  return {{"t", 7}, {"u", encodeSuspects(Notice)}};
}

auto encode(const AuthorityQuery &Query) -> Json {
  return {{"t", 8}, {"l", encodeLeader(Query.Leader)}, {"p", Query.Process}};
}

auto encode(const AuthorityAnswer &Answer) -> Json {
  return {{"t", 9},
          {"r", Answer.Term},
          {"p", Answer.Process},
          {"e", Answer.Ended},
          {"a", Answer.LastOrderAgeMs},
          {"o", encodeMap(Answer.OlderOrderAgesMs)}};
}

auto decodeAuthorityAnswer(const Json &Value) -> AuthorityAnswer {
  return {integer<std::uint64_t>(Value.at("r")),
          Value.at("p").get<std::string>(), Value.at("e").get<bool>(),
          integer<std::uint32_t>(Value.at("a")),
          decodeMap<TargetId, std::uint32_t>(Value.at("o"))};
}

auto decodeLoads(const Json &Value) -> LoadNotice {
  LoadNotice Notice;
  for (const auto &[Id, Load] : Value.at("l").items()) {
    AgedLoad &Known = Notice.Loads[TargetId(Id)];
    Known.Load = {Load.at(0).get<std::uint32_t>(),
                  Load.at(1).get<std::uint32_t>(),
                  Load.at(2).get<std::uint32_t>(),
                  Load.at(3).get<std::uint32_t>() / SlownessSteps};
    // Instances of earlier versions send no age.
    if (Load.size() > 4)
      Known.Age = std::chrono::milliseconds(Load.at(4).get<std::uint32_t>());
  }
  return Notice;
}

auto decodeReport(const Json &Value) -> FleetReport {
  FleetReport Report;
  Report.Instance = InstanceId(Value.at("i").get<std::string>());
  Report.Process = Value.at("p").get<std::string>();
  Report.DataCentre = DataCentreId(Value.at("d").get<std::string>());
  Report.Leader = decodeLeader(Value.at("l"));
  Report.StoreReachable = Value.at("s").get<bool>();
  Report.Leaving = Value.at("x").get<bool>();
  Report.KnownNeighboursVersion = Value.at("h").get<std::uint64_t>();
  Report.Seen = decodeSeen(Value.at("c"));
  Report.Capacity = Value.at("g").get<double>();
  Report.CountPeriodMs = Value.at("m").get<std::uint32_t>();
  Report.Demand = decodeMap<WorkspaceId, std::uint32_t>(Value.at("w"));
  Report.Keys = decodeMap<ServiceId, std::vector<std::uint32_t>>(Value.at("k"));
  Report.ProcessingTimeMs = decodeMap<TargetId, std::uint32_t>(Value.at("b"));
  if (Value.contains("n"))
    Report.OwnerNotices = decodeNotices(Value.at("n"));
  if (Value.contains("f"))
    Report.OwnerFailures = decodeOwnerFailures(Value.at("f"));
  if (Value.contains("o"))
    Report.Rollouts = decodeRolloutReports(Value.at("o"));
  readSuspects(Value, Report);
  return Report;
}

auto decodeReply(const Json &Value) -> FleetReply {
  FleetReply Reply;
  Reply.Leader = decodeLeader(Value.at("l"));
  Reply.StoreReachable = Value.at("s").get<bool>();
  Reply.Resigned = Value.at("e").get<bool>();
  Reply.Seen = decodeSeen(Value.at("c"));
  Reply.SeenByAddress = Value.at("f").get<std::string>();
  Reply.Instances = Value.at("n").get<std::uint32_t>();
  Reply.InstancesInDataCentre = Value.at("z").get<std::uint32_t>();
  Reply.Relay = Value.at("y").get<std::string>();
  Reply.BackupRelay = Value.at("b").get<std::string>();
  Reply.RateKeeper = Value.at("k").get<std::string>();
  Reply.RateHolders = Value.at("r").get<std::uint32_t>();
  Reply.LargestCapacity = Value.at("g").get<double>();
  Reply.NeighboursVersion = Value.at("h").get<std::uint64_t>();
  Reply.Neighbours = Value.at("a").get<std::vector<std::string>>();
  // Leaders of earlier versions send none.
  Reply.Contacts = Value.value("j", std::vector<std::string>());
  Reply.SharesValid = Value.at("q").get<bool>();
  for (const auto &[Id, Share] :
       decodeMap<WorkspaceId, std::uint32_t>(Value.at("w")))
    Reply.WorkspaceShares[Id] = Share / 10'000.0;
  Reply.DefaultShare = Value.at("o").get<std::uint32_t>() / 10'000.0;
  if (Value.contains("d"))
    Reply.Rollouts = decodeRolloutNotices(Value.at("d"));
  readSuspects(Value, Reply);
  return Reply;
}

auto decodeGrantNotice(const Json &Value) -> GrantNotice {
  GrantNotice Notice;
  Notice.Term = Value.at("r").get<std::uint64_t>();
  Notice.Fences =
      decodeMap<ServiceId, std::vector<std::uint64_t>>(Value.at("g"));
  return Notice;
}

} // namespace

auto digestOf(const SuspectNotice &Notice) -> std::uint64_t {
  // A sum, since the order depends on times, which differ.
  std::uint64_t Digest = 0;
  for (const SuspectNotice::Suspect &Suspect : Notice.Suspects)
    for (const auto &[AgeMs, Incarnation] : latestCrashes(Suspect))
      if (Suspect.counts(AgeMs))
        Digest += XXH64(&Incarnation, sizeof(Incarnation), Suspect.Request);
  return Digest;
}

auto encodeFleetMessage(const FleetMessage &Message) -> std::string {
  const Json Value =
      std::visit([](const auto &Item) { return encode(Item); }, Message);
  std::string Bytes;
  Json::to_cbor(Value, Bytes);
  return Bytes;
}

auto decodeFleetMessage(std::string_view Bytes) -> Result<FleetMessage> {
  const auto Decoded = parseCbor(Bytes);
  if (!Decoded)
    return Decoded.error();
  const Json &Value = *Decoded;
  try {
    switch (Value.at("t").get<int>()) {
    case 1:
      return FleetMessage(decodeReport(Value));
    case 2:
      return FleetMessage(decodeReply(Value));
    case 3:
      return FleetMessage(decodeGrantNotice(Value));
    case 4:
      return FleetMessage(
          RateReserveRequest{WorkspaceId(Value.at("w").get<std::string>()),
                             Value.at("n").get<std::uint32_t>(),
                             Value.at("i").get<std::uint64_t>()});
    case 5:
      return FleetMessage(
          RateReserveReply{WorkspaceId(Value.at("w").get<std::string>()),
                           Value.at("n").get<std::uint32_t>(),
                           Value.at("i").get<std::uint64_t>()});
    case 6:
      return FleetMessage(decodeLoads(Value));
    case 7:
      return FleetMessage(decodeSuspects(Value.at("u")));
    case 8:
      return FleetMessage(AuthorityQuery{decodeLeader(Value.at("l")),
                                         Value.at("p").get<std::string>()});
    case 9:
      return FleetMessage(decodeAuthorityAnswer(Value));
    default:
      return Error("unknown message type");
    }
  } catch (const Json::exception &Failure) {
    return Error(Failure.what());
  }
}

} // namespace buckthornring
