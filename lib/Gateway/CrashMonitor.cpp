#include "Gateway/CrashMonitor.h"

#include "IO/BootClock.h"
#include "IO/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace buckthornring {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A host whose process has crashed refuses a connection within one round trip.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(100);

/// Targets whose connections end within this time of each other may have a
/// common cause, from this number on.
constexpr Duration CommonCauseWindow = std::chrono::milliseconds(20);
constexpr std::size_t CommonCauseTargets = 3;

constexpr std::size_t MaxRecentCrashes = 256;

auto incarnationOf(const TargetRecord &Target, std::int64_t StartedAtMs)
    -> std::uint64_t {
  return CrashSuspects::incarnation(Target.Id.str(), StartedAtMs,
                                    Target.Address);
}

template <class Key>
auto takeOne(std::unordered_map<Key, std::uint32_t> &Counts, const Key &Name)
    -> void {
  const auto Found = Counts.find(Name);
  if (Found != Counts.end() && --Found->second == 0)
    Counts.erase(Found);
}

} // namespace

struct CrashMonitor::Inquiry {
  Inquiry(boost::asio::io_context &Io, TargetPtr Suspect, TimePoint LostAt)
      : Target(std::move(Suspect)), Record(Target->Record), LostAt(LostAt),
        Socket(Io), Timer(Io) {}

  TargetPtr Target;
  TargetRecord Record;
  std::uint64_t Incarnation = 0;
  TimePoint LostAt;
  std::vector<MonitoredRequest> Requests;
  tcp::socket Socket;
  boost::asio::steady_timer Timer;
};

auto CrashMonitor::admission(std::uint64_t Request, std::uint32_t OwnCopies,
                             TimePoint Now) const -> Admission {
  const auto Verdict = Suspects.verdict(Request, Now);
  if (Verdict == CrashSuspects::Verdict::Quarantined)
    return Admission::Refuse;
  const bool InQuestion = Questioned.contains(Request);
  if (Verdict == CrashSuspects::Verdict::Clear)
    return InQuestion && OwnCopies == 0 ? Admission::Hold : Admission::Send;
  const auto Running = RunningCopies.find(Request);
  const bool OthersRun =
      Running != RunningCopies.end() && Running->second > OwnCopies;
  return InQuestion || OthersRun ? Admission::Hold : Admission::Send;
}

auto CrashMonitor::copyEnded(std::uint64_t Request) -> void {
  takeOne(RunningCopies, Request);
}

auto CrashMonitor::suspectEnded(const TargetId &Target) -> void {
  takeOne(SuspectRuns, Target);
}

auto CrashMonitor::targetsOfSuspects() const -> std::vector<TargetId> {
  std::vector<TargetId> Found;
  for (const auto &[Target, Count] : SuspectRuns)
    Found.push_back(Target);
  return Found;
}

auto CrashMonitor::exchangeLost(const TargetPtr &Target,
                                std::int64_t StartedAtMs,
                                MonitoredRequest Request) -> void {
  // A target that leaves may end with requests running on it.
  if (Target->Record.Draining || Target->Announced->leaving())
    return;
  const std::uint64_t Incarnation = incarnationOf(Target->Record, StartedAtMs);
  InquiryPtr &Current = Inquiries[Incarnation];
  const bool Begins = !Current;
  if (Begins) {
    Current = std::make_shared<Inquiry>(Io, Target, bootNow());
    Current->Incarnation = Incarnation;
  }
  ++Questioned[Request.Fingerprint];
  Current->Requests.push_back(std::move(Request));
  if (Begins)
    probe(InquiryPtr(Current));
}

auto CrashMonitor::probe(const InquiryPtr &Current) -> void {
  const auto Endpoint = parseEndpoint(Current->Record.Address);
  if (!Endpoint)
    return conclude(Current, false);
  Current->Timer.expires_after(ProbeTimeout);
  Current->Timer.async_wait([Current](const error_code &Cancelled) {
    error_code Ignored;
    if (!Cancelled)
      Current->Socket.close(Ignored);
  });
  Current->Socket.async_connect(
      *Endpoint, [this, Current](const error_code &Failure) {
        onProbed(Current, Failure == boost::asio::error::connection_refused);
      });
}

auto CrashMonitor::onProbed(const InquiryPtr &Current, bool Refused) -> void {
  error_code Ignored;
  Current->Socket.close(Ignored);
  Current->Timer.cancel();
  if (!Refused)
    return conclude(Current, false);
  const TimePoint Now = bootNow();
  RecentCrashes.emplace_back(Current->LostAt, Current->Incarnation);
  if (RecentCrashes.size() > MaxRecentCrashes)
    RecentCrashes.pop_front();
  if (Current->Target->Record.StartedAtMs == Current->Record.StartedAtMs)
    Targets.markUnreachable(*Current->Target, Now);
  // Others that end at the same moment may still be looked into.
  Current->Timer.expires_after(
      std::max(Duration(0), Current->LostAt + CommonCauseWindow - Now));
  Current->Timer.async_wait(
      [this, Current](const error_code &) { conclude(Current, true); });
}

auto CrashMonitor::conclude(const InquiryPtr &Current, bool Crashed) -> void {
  Inquiries.erase(Current->Incarnation);
  for (const MonitoredRequest &Request : Current->Requests)
    takeOne(Questioned, Request.Fingerprint);
  if (Crashed)
    accuse(Current);
  WaitingRequests.dispatch();
}

auto CrashMonitor::accuse(const InquiryPtr &Current) -> void {
  const TimePoint Now = bootNow();
  const bool CommonCause =
      endedWithOthers(Current->Incarnation, Current->LostAt);
  ++Total.Crashes;
  Events.write(EventLine("target-crashed")
                   .field("target", Current->Record.Id.str())
                   .field("service", Current->Record.Service.str())
                   .field("address", Current->Record.Address)
                   .field("requests", Current->Requests.size())
                   .field("common_cause", CommonCause));
  if (CommonCause)
    return;
  for (const MonitoredRequest &Request : Current->Requests) {
    if (!Suspects.accuse(Request.Fingerprint, Current->Incarnation,
                         Current->LostAt))
      continue;
    ++Total.Accusations;
    const bool Quarantined = Suspects.verdict(Request.Fingerprint, Now) ==
                             CrashSuspects::Verdict::Quarantined;
    Total.Quarantines += Quarantined ? 1 : 0;
    if (Quarantined || Events.admits(EventClass::Failure, Now))
      logRequest(Quarantined ? "request-quarantined" : "request-suspected",
                 Request, Current->Record.Id.str(), Now);
  }
}

auto CrashMonitor::watches(std::uint64_t Request) const -> bool {
  return Questioned.contains(Request) ||
         Suspects.crashes(Request, bootNow()) > 0;
}

auto CrashMonitor::exchangeCompleted(const MonitoredRequest &Request) -> void {
  const TimePoint Now = bootNow();
  if (Questioned.contains(Request.Fingerprint))
    acquit(Request.Fingerprint);
  if (!Suspects.completed(Request.Fingerprint, Now))
    return;
  ++Total.Acquittals;
  if (Events.admits(EventClass::Failure, Now))
    logRequest("request-cleared", Request, "", Now);
}

auto CrashMonitor::acquit(std::uint64_t Request) -> void {
  for (const auto &[Incarnation, Current] : Inquiries)
    std::erase_if(Current->Requests, [&](const MonitoredRequest &Each) {
      if (Each.Fingerprint != Request)
        return false;
      takeOne(Questioned, Request);
      return true;
    });
}

auto CrashMonitor::logRequest(const char *Event,
                              const MonitoredRequest &Request,
                              std::string_view Target, TimePoint Now) -> void {
  Events.write(EventLine(Event)
                   .field("id", Request.Id)
                   .field("path", Request.Path)
                   .field("workspace", Request.Workspace.str())
                   .field("fingerprint",
                          CrashSuspects::fingerprintText(Request.Fingerprint))
                   .field("target", Target)
                   .field("crashes", Suspects.crashes(Request.Fingerprint, Now))
                   .field("quarantine_ms",
                          Suspects.quarantineRest(Request.Fingerprint, Now)));
}

auto CrashMonitor::endedWithOthers(std::uint64_t Incarnation,
                                   TimePoint LostAt) const -> bool {
  std::set<std::uint64_t> Ended{Incarnation};
  for (const auto &[OtherLostAt, Other] : RecentCrashes)
    if (std::max(LostAt, OtherLostAt) - std::min(LostAt, OtherLostAt) <=
        CommonCauseWindow)
      Ended.insert(Other);
  return Ended.size() >= CommonCauseTargets;
}

} // namespace buckthornring
