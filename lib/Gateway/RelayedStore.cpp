#include "Gateway/RelayedStore.h"

#include "Common/JsonText.h"
#include "Gateway/ChangeRelay.h"
#include "Gateway/ClientOptions.h"
#include "Gateway/ObjectText.h"
#include "IO/BootClock.h"
#include "IO/Deflate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Longest time that a watch through the relay waits for changes, and the
/// further time after which the relay counts as failed unless its response is
/// arriving. Their sum is the time within which an instance notices the
/// failure; it has 2 s to learn of targets that leave.
constexpr Duration RelayWatchTimeout = std::chrono::milliseconds(800);
constexpr Duration RelayReplyTimeout = std::chrono::milliseconds(300);

/// Longest pause within a response. Links of relays carry the responses to all
/// readers at once.
constexpr Duration RelayStallTimeout = std::chrono::milliseconds(600);

/// Largest list of objects that a relay may send, uncompressed.
constexpr std::size_t MaxInflatedBytes = std::size_t{32} << 20;

/// Longest transfer through a relay. An instance has 2 s to learn of targets
/// that leave, so it reads the store itself if its relay is slower.
constexpr Duration RelayTransferLimit = std::chrono::milliseconds(2500);

/// Longest direct watch in place of one through a relay that failed. The
/// connection to the store may be silent too, and an open watch counts as
/// contact until it fails.
constexpr Duration FallbackWatchTimeout = std::chrono::milliseconds(1500);

/// Longest wait for changes of a watch that goes on to another source after one
/// has failed: the failures have taken their time, and the read proves contact
/// only when it is answered.
constexpr Duration RetryWatchTimeout = std::chrono::milliseconds(200);

/// Time for which a failed relay is not called again.
constexpr Duration DistrustPeriod = std::chrono::seconds(5);

auto milliseconds(Duration Span) -> std::string {
  return std::to_string(Span.count() / 1000);
}

auto parseNumber(std::string_view Text) -> std::optional<std::int64_t> {
  std::int64_t Value = 0;
  if (std::from_chars(Text.data(), Text.data() + Text.size(), Value).ec !=
      std::errc())
    return std::nullopt;
  return Value;
}

auto readNumber(const HttpResponse &Response, const char *Name)
    -> std::optional<std::int64_t> {
  const auto Text = Response.Headers.find(Name);
  return Text ? parseNumber(*Text) : std::nullopt;
}

/// The parts of a relay's answer.
struct ChangesText {
  std::int64_t Revision = 0;
  std::int64_t AgeUs = 0;
  std::string Objects; ///< The list, not parsed yet.
};

auto readCompressed(const HttpResponse &Response)
    -> std::optional<ChangesText> {
  const auto Revision = readNumber(Response, ChangeRelay::RevisionField);
  const auto Age = readNumber(Response, ChangeRelay::AgeField);
  auto Objects = inflateText(Response.Body, MaxInflatedBytes);
  if (!Revision || !Age || !Objects)
    return std::nullopt;
  return ChangesText{*Revision, *Age, std::move(*Objects)};
}

auto readUncompressed(std::string_view Body) -> std::optional<ChangesText> {
  const auto Members = splitObject(Body);
  if (!Members)
    return std::nullopt;
  ChangesText Out;
  std::size_t Found = 0;
  for (const auto &[Name, Value] : *Members) {
    if (Name == "objects")
      Out.Objects = Value;
    else if (Name == "revision" && parseNumber(Value))
      Out.Revision = *parseNumber(Value);
    else if (Name == "age_us" && parseNumber(Value))
      Out.AgeUs = *parseNumber(Value);
    else
      continue;
    ++Found;
  }
  return Found == 3 ? std::optional(std::move(Out)) : std::nullopt;
}

/// An unreadable answer counts as none; the caller logs it.
auto readChanges(const HttpResponse &Response, std::string_view Kind,
                 const ObjectSchema &Schema) -> StoreChanges {
  const auto Answer = Response.Headers.contains("Content-Encoding")
                          ? readCompressed(Response)
                          : readUncompressed(Response.Body);
  if (!Answer || Answer->Revision < 0)
    return {};
  auto Objects =
      readObjectList(Answer->Objects, ObjectListForm::Changes, Kind, Schema);
  if (!Objects)
    return {};
  StoreChanges Changes;
  Changes.Status = StoreStatus::Done;
  Changes.Revision = static_cast<std::uint64_t>(Answer->Revision);
  Changes.Age = Duration(Answer->AgeUs);
  Changes.Objects = std::move(*Objects);
  return Changes;
}

} // namespace

/// A read and the call that it currently waits for.
struct RelayedStore::RelayedRead final : StoreRead {
  auto receiving() const -> bool override {
    return Call.receiving() || (DirectRead && DirectRead->receiving());
  }
  auto cancel() -> void override {
    ++Attempts;
    Call.cancel();
    if (DirectRead)
      DirectRead->cancel();
    DirectRead = nullptr;
    Direct = false;
  }

  std::string Kind;
  std::string Query;
  Duration Wait{0}; ///< For changes; 0: reads at once.
  ChangesHandler OnDone;
  std::function<ReadPtr(Duration Wait, ChangesHandler)> ReadDirectly;
  HttpCall Call;
  ReadPtr DirectRead;
  bool Direct = false;        ///< The store has not answered the read yet.
  std::uint64_t Attempts = 0; ///< Answers to earlier attempts are ignored.
};

auto RelayedStore::useRelays(const std::string &Primary,
                             const std::string &Backup) -> void {
  const std::array<std::string, 2> Addresses = {Primary, Backup};
  if (Addresses[0] == Relays[0].Address && Addresses[1] == Relays[1].Address)
    return;
  Events.write(EventLine("relay-changed")
                   .field("relay", Primary)
                   .field("backup", Backup));
  std::array<Relay, 2> Previous = std::exchange(Relays, {});
  for (std::size_t Index = 0; Index < Addresses.size(); ++Index) {
    const auto Known = std::find_if(
        Previous.begin(), Previous.end(), [&](const Relay &Candidate) {
          return Candidate.Address == Addresses[Index];
        });
    if (Known != Previous.end())
      Relays[Index] = *Known;
    else
      Relays[Index] = connectTo(Addresses[Index]);
  }
  moveDirectReads();
}

auto RelayedStore::moveDirectReads() -> void {
  if (!usableRelay())
    return;
  for (const auto &Each : std::exchange(DirectReads, {})) {
    const auto Read = Each.lock();
    if (!Read || !Read->Direct)
      continue;
    if (Read->receiving()) {
      DirectReads.push_back(Read);
      continue;
    }
    Read->cancel();
    send(Read);
  }
}

auto RelayedStore::connectTo(const std::string &Address) const -> Relay {
  Relay Added;
  Added.Address = Address;
  if (Address.empty())
    return Added;
  auto Client = HttpClient::create(Io, Address, clientOptions(Events));
  if (Client)
    Added.Client = std::move(Client).value();
  else
    Events.write(EventLine("relay-distrusted")
                     .field("relay", Address)
                     .field("reason", Client.error().message()));
  return Added;
}

auto RelayedStore::distrust(const char *Reason) -> void {
  for (Relay &Each : Relays)
    distrust(Each, Reason);
}

auto RelayedStore::distrust(Relay &Failed, const char *Reason) -> void {
  const TimePoint Now = bootNow();
  if (!Failed.Client || Now < Failed.DistrustedUntil)
    return;
  Failed.DistrustedUntil = Now + DistrustPeriod;
  Events.write(EventLine("relay-distrusted")
                   .field("relay", Failed.Address)
                   .field("reason", Reason));
}

auto RelayedStore::usableRelay() -> Relay * {
  for (Relay &Each : Relays)
    if (Each.Client && bootNow() >= Each.DistrustedUntil)
      return &Each;
  return nullptr;
}

auto RelayedStore::hasRelay() const -> bool {
  return std::any_of(Relays.begin(), Relays.end(),
                     [](const Relay &Each) { return Each.Client != nullptr; });
}

auto RelayedStore::sendDirectly(const std::shared_ptr<RelayedRead> &Read)
    -> void {
  if (hasRelay() && Events.admits(EventClass::Failure, bootNow()))
    Events.write(EventLine("store-read-direct").field("kind", Read->Kind));
  std::erase_if(DirectReads, [](const std::weak_ptr<RelayedRead> &Each) {
    const auto Open = Each.lock();
    return !Open || !Open->Direct;
  });
  DirectReads.push_back(Read);
  Read->Direct = true;
  // The read may not be kept by its caller, and keeps the direct one itself.
  Read->DirectRead = Read->ReadDirectly(
      hasRelay() ? std::min(Read->Wait, FallbackWatchTimeout) : Read->Wait,
      [WeakRead = std::weak_ptr<RelayedRead>(Read), OnDone = Read->OnDone,
       Number = ++Read->Attempts](StoreChanges Changes) {
        if (const auto Open = WeakRead.lock()) {
          if (Open->Attempts != Number)
            return;
          Open->Direct = false;
        }
        OnDone(std::move(Changes));
      });
}

auto RelayedStore::send(const std::shared_ptr<RelayedRead> &Read) -> void {
  const Relay *Used = usableRelay();
  if (!Used)
    return sendDirectly(Read);
  const Duration Wait = std::min(Read->Wait, RelayWatchTimeout);
  HttpRequest Request;
  Request.Target = std::string(ChangeRelay::Path) + "?" + Read->Query +
                   "&wait_ms=" + milliseconds(Wait);
  Request.Headers.set("Accept-Encoding", "deflate");
  HttpCallOptions Options;
  Options.TimeLimit = Wait + RelayReplyTimeout;
  Options.ConnectTimeout = RelayReplyTimeout;
  Options.StallTimeout = RelayStallTimeout;
  Options.TransferLimit = RelayTransferLimit;
  // The call keeps the client alive, since the relay may be replaced meanwhile.
  Read->Call = Used->Client->request(
      std::move(Request), Options,
      [this, Read, UsedClient = Used->Client](const HttpOutcome &Outcome) {
        onAnswer(Read, UsedClient.get(), Outcome);
      });
}

auto RelayedStore::onAnswer(const std::shared_ptr<RelayedRead> &Read,
                            const HttpClient *UsedClient,
                            const HttpOutcome &Outcome) -> void {
  if (Outcome.done() && Outcome.Response.Status == 410) {
    StoreChanges HistoryLost;
    HistoryLost.Status = StoreStatus::HistoryLost;
    return Read->OnDone(std::move(HistoryLost));
  }
  if (Outcome.done() && Outcome.Response.Status == 200) {
    auto Changes = readChanges(Outcome.Response, Read->Kind, Schema);
    if (Changes.Status == StoreStatus::Done)
      return Read->OnDone(std::move(Changes));
  }
  for (Relay &Each : Relays)
    if (Each.Client.get() == UsedClient)
      distrust(Each, !Outcome.done()                  ? "no answer"
                     : Outcome.Response.Status == 200 ? "unreadable answer"
                                                      : "no contact");
  Read->Wait = std::min(Read->Wait, RetryWatchTimeout);
  send(Read);
}

auto RelayedStore::list(const std::string &Kind, ChangesHandler OnDone)
    -> ReadPtr {
  const auto Read = std::make_shared<RelayedRead>();
  Read->Kind = Kind;
  Read->Query = "kind=" + encodePercent(Kind);
  Read->OnDone = std::move(OnDone);
  Read->ReadDirectly = [this, Kind](Duration, ChangesHandler Callback) {
    return DirectStore->list(Kind, std::move(Callback));
  };
  send(Read);
  return Read;
}

auto RelayedStore::watch(const std::string &Kind, std::uint64_t Revision,
                         Duration Wait, ChangesHandler OnDone) -> ReadPtr {
  const auto Read = std::make_shared<RelayedRead>();
  Read->Kind = Kind;
  Read->Kind = Kind;
  Read->Query =
      "kind=" + encodePercent(Kind) + "&since=" + std::to_string(Revision);
  Read->Wait = Wait;
  Read->OnDone = std::move(OnDone);
  Read->ReadDirectly = [this, Kind, Revision](Duration DirectWait,
                                              ChangesHandler Callback) {
    return DirectStore->watch(Kind, Revision, DirectWait, std::move(Callback));
  };
  send(Read);
  return Read;
}

auto RelayedStore::write(const std::string &Kind, const std::string &Name,
                         std::uint64_t Expected, Json Value,
                         WriteHandler OnDone) -> void {
  DirectStore->write(Kind, Name, Expected, std::move(Value),
                     observeWrite(std::move(OnDone)));
}

auto RelayedStore::writeStatus(const std::string &Kind, const std::string &Name,
                               std::uint64_t Expected, Json Status,
                               WriteHandler OnDone) -> void {
  DirectStore->writeStatus(Kind, Name, Expected, std::move(Status),
                           observeWrite(std::move(OnDone)));
}

auto RelayedStore::observeWrite(WriteHandler OnDone) -> WriteHandler {
  return [this, OnDone = std::move(OnDone)](const StoreWriteResult &Answer) {
    OnDone(Answer);
    if (Answer.Status == StoreStatus::Unknown ||
        Answer.Status == StoreStatus::Unreachable)
      WriteUnanswered();
  };
}

} // namespace buckthornring
