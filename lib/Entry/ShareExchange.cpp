#include "Entry/ShareExchange.h"

#include "IO/SteadyTime.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace buckthornring {

namespace {

constexpr const char *PartsObject = "shares/current";
constexpr std::string_view RatePrefix = "rate/";
constexpr Duration ReadInterval = std::chrono::seconds(1);
// At most this often a data centre changes its parts, so that the platform's
// writes stay few while demand moves.
constexpr Duration WriteInterval = std::chrono::milliseconds(500);
constexpr Duration DemandLifetime = std::chrono::seconds(2);

auto milli(double Value) -> MilliUnits {
  return static_cast<MilliUnits>(std::floor(Value * OneUnit));
}

auto workspaceOf(const std::string &Quantity) -> std::optional<WorkspaceId> {
  if (Quantity.rfind(RatePrefix, 0) != 0)
    return std::nullopt;
  return WorkspaceId(Quantity.substr(RatePrefix.size()));
}

} // namespace

auto ShareExchange::create(PlatformClient &Platform, PeerLinks &Links,
                           Options Settings) -> std::unique_ptr<ShareExchange> {
  return std::unique_ptr<ShareExchange>(
      new ShareExchange(Platform, Links, std::move(Settings)));
}

ShareExchange::ShareExchange(PlatformClient &Platform, PeerLinks &Links,
                             Options Settings)
    : Platform(Platform), Links(Links), Settings(std::move(Settings)),
      Parts(this->Settings.Self.DataCentre) {}

ShareExchange::~ShareExchange() { *Alive = false; }

auto ShareExchange::setConfiguration(const Configuration &Accepted) -> void {
  RateAllocator::Totals Totals;
  for (const auto &[Id, DataCentre] : Accepted.DataCentres) {
    if (DataCentre.ConfirmedLost) {
      Totals.LostDataCentres.insert(Id);
      continue;
    }
    const bool InService = DataCentre.State == ServingState::InService;
    Totals.Weights[Id] = InService ? DataCentre.Weight : 0;
  }
  for (const auto &[Id, Workspace] : Accepted.Workspaces)
    Totals.Workspaces[Id] = {milli(Workspace.RatePerSecond),
                             milli(Workspace.Burst)};
  Workspaces = Totals.Workspaces;
  Parts.setTotals(std::move(Totals));
  std::erase_if(Ledgers, [this](const auto &Entry) {
    return Workspaces.count(Entry.first) == 0;
  });
  if (leads())
    addLedgers();
}

auto ShareExchange::setGiver(const Giver &Next) -> void {
  const bool Led = leads();
  const bool Continues =
      Led && Next.Authority && Next.Process == Current.Process;
  Current = Next;
  if (Continues) {
    for (auto &[Id, Ledger] : Ledgers)
      Ledger.setAuthorityEnd(*Current.Authority);
    return;
  }
  if (leads()) {
    GiverTerm = Current.Term;
    TermBegan = std::max(steadyNow(), Current.EarlierSilentAt);
    PartsSeen = false;
    NextCall = TimePoint();
    PartsKnown = false;
    Ledgers.clear();
    addLedgers();
    Settings.OnGiverChanged(GiverTerm);
    return;
  }
  // Holders learn the giver's term from its first answer: the term of the
  // record can be higher, since a giver that replaced its deputy keeps its
  // ledgers, and holders never follow a lower term.
  Ledgers.clear();
  Demand.clear();
}

auto ShareExchange::submit(const std::string &Quantity,
                           const ShareRequest &Request) -> void {
  if (!leads()) {
    Links.send(Current.Process, ShareRequestMessage{Quantity, Request});
    return;
  }
  if (const auto Grant = handle(Quantity, Request))
    Settings.OnGrant(Quantity, *Grant);
}

auto ShareExchange::receive(const InstanceId &From, const LinkMessage &Message)
    -> bool {
  if (const auto *Asked = std::get_if<ShareRequestMessage>(&Message)) {
    if (const auto Grant = handle(Asked->Quantity, Asked->Request))
      Links.send(From, ShareGrantMessage{Asked->Quantity, *Grant});
    return true;
  }
  if (const auto *Answer = std::get_if<ShareGrantMessage>(&Message)) {
    if (From == Current.Process)
      takeGrant(*Answer);
    return true;
  }
  return false;
}

auto ShareExchange::takeGrant(const ShareGrantMessage &Answer) -> void {
  // A giver that replaced its deputy keeps its ledgers and their term; it
  // tells a holder that asked with another one.
  if (Answer.Grant.Holder.empty())
    return Settings.OnGiverChanged(Answer.Grant.Term);
  Settings.OnGrant(Answer.Quantity, Answer.Grant);
}

auto ShareExchange::handle(const std::string &Quantity,
                           const ShareRequest &Request)
    -> std::optional<ShareGrant> {
  const auto Workspace = workspaceOf(Quantity);
  const auto Found = Workspace ? Ledgers.find(*Workspace) : Ledgers.end();
  // Until the parts are known, a grant could only take shares away.
  if (!leads() || !PartsSeen || Found == Ledgers.end())
    return std::nullopt;
  if (Request.Term != GiverTerm) {
    ShareGrant Hint;
    Hint.Term = GiverTerm;
    return Hint;
  }
  Demand[*Workspace][Request.Holder] = {Request.WantedRate, steadyNow()};
  return Found->second.handle(Request, steadyNow());
}

auto ShareExchange::tick() -> void {
  if (!leads())
    return;
  const TimePoint Now = steadyNow();
  for (auto &[Id, Ledger] : Ledgers) {
    if (!PartsSeen)
      break;
    Ledger.expire(Now);
    // Holders of lost instances do not count for ever; live ones report again
    // within 100 ms.
    auto &Holders = Demand[Id];
    std::erase_if(Holders, [Now](const auto &Entry) {
      return Now - Entry.second.At > DemandLifetime;
    });
    MilliUnits Wanted = 0;
    for (const auto &[Holder, Seen] : Holders)
      Wanted += Seen.Rate;
    Parts.setDemand(Id, Wanted);
    Ledger.setTotal(Parts.allowed(Id), Now);
    Parts.setEffectiveTotal(Id, Ledger.effectiveTotal());
  }
  exchangeParts(Now);
}

auto ShareExchange::addLedgers() -> void {
  ShareLedger::Options Options;
  Options.Kind = ShareKind::Rate;
  for (const auto &[Id, Total] : Workspaces) {
    const auto [Entry, Added] = Ledgers.try_emplace(
        Id, Options, Parts.allowed(Id), GiverTerm, TermBegan);
    Entry->second.setAuthorityEnd(*Current.Authority);
  }
}

auto ShareExchange::exchangeParts(TimePoint Now) -> void {
  if (CallPending || Now < NextCall)
    return;
  if (PartsKnown)
    if (const auto Next = Parts.beginWrite())
      return writeParts(*Next);
  NextCall = Now + ReadInterval;
  readParts();
}

auto ShareExchange::readParts() -> void {
  CallPending = true;
  Platform.get(PartsObject, [this, Living = Alive](const PlatformRead &Read) {
    if (!*Living)
      return;
    CallPending = false;
    if (Read.Status == PlatformStatus::Absent) {
      Parts.setRecorded(std::nullopt, 0);
      PartsKnown = true;
      PartsSeen = true;
    }
    if (Read.Status != PlatformStatus::Done)
      return;
    if (auto Table = parseRateAllocations(Read.Value)) {
      Parts.setRecorded(std::move(Table).value(), Read.Version);
      PartsKnown = true;
      PartsSeen = true;
    }
    // A write that waited for the next interval would meet a newer version
    // whenever another data centre writes as often.
    if (PartsKnown)
      if (const auto Next = Parts.beginWrite())
        writeParts(*Next);
  });
}

auto ShareExchange::writeParts(const RateAllocationTable &Next) -> void {
  CallPending = true;
  Platform.put(PartsObject, Parts.version(), formatRateAllocations(Next),
               [this, Living = Alive](const PlatformWrite &Write) {
                 if (!*Living)
                   return;
                 CallPending = false;
                 // After any other outcome only a new read shows what is
                 // recorded.
                 if (Write.Status == PlatformStatus::Done)
                   Parts.onWriteSucceeded(Write.Version);
                 else
                   PartsKnown = false;
                 NextCall = steadyNow() + WriteInterval;
               });
}

} // namespace buckthornring
