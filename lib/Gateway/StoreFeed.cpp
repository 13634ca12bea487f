#include "Gateway/StoreFeed.h"

#include "Fleet/StoreRevision.h"
#include "IO/BootClock.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace buckthornring {

namespace {

/// Delay of the next watch after changes, so that changes in quick succession
/// cost one call. It is short compared with the seconds within which changes
/// have to be in force.
constexpr Duration BatchInterval = std::chrono::milliseconds(200);

/// Shortest time without contact that counts as an outage in which records of
/// targets may have expired. After a watch that was merely interrupted, the
/// next call is answered sooner than this.
constexpr Duration MinOutageDuration = std::chrono::milliseconds(500);

/// Age at which an unanswered call is repeated once the store is known to be
/// reachable. The store answers a list call in a few milliseconds.
constexpr Duration CallRetryAge = std::chrono::milliseconds(100);

/// Number of changed objects that are kept for instances that read the store
/// through this one.
constexpr std::size_t MaxRecentChanges = 256;

constexpr Duration InitialBackoff = std::chrono::milliseconds(150);

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context &Context, ObjectStore &Store,
                     Options Settings, Handlers Callbacks)
    : Store(Store), Settings(std::move(Settings)),
      Callbacks(std::move(Callbacks)), Timer(Context),
      Random(this->Settings.Seed) {}

StoreFeed::~StoreFeed() { *Alive = false; }

auto StoreFeed::schedule(Duration Delay, void (StoreFeed::*Next)()) -> void {
  Timer.expires_after(Delay);
  Timer.async_wait([this, Next, AliveFlag = Alive](
                       const boost::system::error_code &Cancelled) {
    if (!Cancelled && *AliveFlag)
      (this->*Next)();
  });
}

auto StoreFeed::inOutage() const -> bool {
  return !Connected && bootNow() - LostAt > MinOutageDuration;
}

auto StoreFeed::onSuccess(Duration Age) -> void {
  if (Loaded && !Connected && RequestedAt - LostAt > MinOutageDuration)
    OutageEndedAt = RequestedAt;
  ConfirmedAt = std::max(ConfirmedAt, RequestedAt - Age);
  Failures = 0;
  if (std::exchange(Connected, true))
    return;
  Callbacks.OnContact(true, "answered");
}

// Continues with a list call: unlike a watch, it is answered at once and so
// shows that the store is reachable again.
auto StoreFeed::onFailure(StoreStatus Status) -> void {
  if (Connected)
    LostAt = bootNow();
  if (std::exchange(Connected, false))
    Callbacks.OnContact(false, StoreStatusNames.name(Status).data());
  const double Factor = std::pow(2.0, std::min(Failures, 5U));
  ++Failures;
  BackingOff = true;
  const auto Delay =
      std::min(std::chrono::duration_cast<Duration>(InitialBackoff * Factor),
               Settings.MaxBackoff);
  schedule(std::chrono::duration_cast<Duration>(Delay *
                                                (0.75 + 0.5 * Random.unit())),
           &StoreFeed::list);
}

auto StoreFeed::cancelOpenRead() -> void {
  if (const auto Read = std::exchange(OpenRead, nullptr))
    Read->cancel();
}

auto StoreFeed::list() -> void {
  cancelOpenRead();
  RequestedAt = bootNow();
  BackingOff = false;
  Listing = true;
  OpenRead =
      Store.list(Settings.Kind, [this, Number = ++CallNumber,
                                 AliveFlag = Alive](StoreChanges Changes) {
        if (*AliveFlag && Number == CallNumber)
          onList(std::move(Changes));
      });
}

auto StoreFeed::retry() -> void {
  if (Connected || receiving() ||
      (!BackingOff && bootNow() - RequestedAt < CallRetryAge))
    return;
  reread();
}

auto StoreFeed::recheck() -> void {
  // A list that gets no answer ends soon, and shows that contact is lost; begun
  // again, it never would.
  if (!Connected || Listing || receiving() ||
      bootNow() - RequestedAt < CallRetryAge)
    return;
  reread();
}

auto StoreFeed::reread() -> void {
  ListNext = receiving();
  if (ListNext)
    return;
  Timer.cancel();
  list();
}

auto StoreFeed::refresh() -> void {
  Store.list(Settings.Kind, [this, SentAt = bootNow(),
                             AliveFlag = Alive](StoreChanges Changes) {
    // After a failure the open watch delivers the changes.
    if (!*AliveFlag || Changes.Status != StoreStatus::Done)
      return;
    ConfirmedAt = std::max(ConfirmedAt, SentAt - Changes.Age);
    applySnapshot(std::move(Changes.Objects), Changes.Revision);
  });
}

auto StoreFeed::onList(StoreChanges Changes) -> void {
  if (Changes.Status != StoreStatus::Done)
    return onFailure(Changes.Status);
  onSuccess(Changes.Age);
  applySnapshot(std::move(Changes.Objects), Changes.Revision);
  continueAfter(Duration(0));
}

auto StoreFeed::applySnapshot(std::vector<StoredObject> Snapshot,
                              std::uint64_t SnapshotRevision) -> void {
  if (Loaded && SnapshotRevision < Revision)
    return;
  ++ChangeCount;
  ObjectMap Listed;
  for (StoredObject &Object : Snapshot) {
    StoredObject &Entry = Listed[Object.Name];
    Entry = std::move(Object);
  }
  keepNewer(Listed, SnapshotRevision);
  if (Loaded && eraOf(SnapshotRevision) > eraOf(Revision))
    onRestored(SnapshotRevision);
  else
    recordDifferences(Listed, SnapshotRevision);
  Objects = std::move(Listed);
  for (const auto &[Name, Object] : Objects)
    LastChangeRevision = std::max(LastChangeRevision, Object.Revision);
  Revision = SnapshotRevision;
  Loaded = true;
  Callbacks.OnSnapshot(Objects);
  Callbacks.OnAdvanced();
}

// The copy may lack any of the objects, whether or not the store was away for
// long.
auto StoreFeed::onRestored(std::uint64_t SnapshotRevision) -> void {
  OutageEndedAt = bootNow();
  RecentChanges.clear();
  RecentAfterRevision = SnapshotRevision;
  Callbacks.OnRestored(Revision, SnapshotRevision);
}

auto StoreFeed::recordChange(StoredObject Object) -> void {
  std::erase_if(RecentChanges, [&Object](const StoredObject &Earlier) {
    return Earlier.Name == Object.Name;
  });
  RecentChanges.push_back(
      {std::move(Object.Name), Object.Revision, Object.Deleted, {}});
  if (RecentChanges.size() <= MaxRecentChanges)
    return;
  RecentAfterRevision = RecentChanges.front().Revision;
  RecentChanges.pop_front();
}

auto StoreFeed::keepNewer(ObjectMap &Listed,
                          std::uint64_t SnapshotRevision) const -> void {
  for (const auto &[Name, Known] : Objects) {
    const auto Found = Listed.find(Name);
    const StoredObject *Held = Found == Listed.end() ? nullptr : &Found->second;
    if (!isNewer(Known, Held))
      continue;
    // An object that the store lacks counts as changed once.
    const bool KnownInEra = eraOf(Known.Revision) == eraOf(SnapshotRevision);
    const std::uint64_t KeptRevision = Held         ? Held->Revision
                                       : KnownInEra ? Known.Revision
                                                    : SnapshotRevision;
    Listed[Name] = {Name, KeptRevision, false, Known.Value};
  }
}

auto StoreFeed::recordDifferences(const ObjectMap &Listed,
                                  std::uint64_t SnapshotRevision) -> void {
  if (!Loaded) {
    RecentAfterRevision = SnapshotRevision;
    return;
  }
  std::vector<StoredObject> Changed;
  for (const auto &[Name, Object] : Listed) {
    const auto Existing = Objects.find(Name);
    if (Existing == Objects.end() ||
        Existing->second.Revision < Object.Revision)
      Changed.push_back({Name, Object.Revision, false, {}});
  }
  // The store does not report the revision at which an object was removed.
  for (const auto &[Name, Existing] : Objects)
    if (!Listed.contains(Name))
      Changed.push_back({Name, SnapshotRevision, true, {}});
  std::sort(Changed.begin(), Changed.end(),
            [](const StoredObject &First, const StoredObject &Second) {
              return First.Revision < Second.Revision;
            });
  for (StoredObject &Object : Changed)
    recordChange(std::move(Object));
}

auto StoreFeed::watch() -> void {
  cancelOpenRead();
  RequestedAt = bootNow();
  Listing = false;
  OpenRead = Store.watch(
      Settings.Kind, Revision, Settings.WatchTimeout,
      [this, Number = ++CallNumber, AliveFlag = Alive](StoreChanges Changes) {
        if (*AliveFlag && Number == CallNumber)
          onChanges(std::move(Changes));
      });
}

auto StoreFeed::onChanges(StoreChanges Changes) -> void {
  if (Changes.Status == StoreStatus::HistoryLost)
    return list();
  if (Changes.Status != StoreStatus::Done)
    return onFailure(Changes.Status);
  // The changes do not tell what the copy lacks.
  if (eraOf(Changes.Revision) > eraOf(Revision))
    return list();
  onSuccess(Changes.Age);
  bool Changed = false;
  for (StoredObject &Object : Changes.Objects)
    Changed = apply(std::move(Object)) || Changed;
  Revision = std::max(Revision, Changes.Revision);
  if (Changed)
    Callbacks.OnAdvanced();
  // Without this delay, a store that answers at once without changes would be
  // called in a busy loop.
  const bool AnsweredEarly = bootNow() - RequestedAt < BatchInterval;
  continueAfter(Changed || AnsweredEarly ? BatchInterval : Duration(0));
}

auto StoreFeed::continueAfter(Duration Delay) -> void {
  if (std::exchange(ListNext, false))
    return list();
  if (Delay > Duration(0))
    return schedule(Delay, &StoreFeed::watch);
  watch();
}

auto StoreFeed::apply(StoredObject Object) -> bool {
  const auto Existing = Objects.find(Object.Name);
  if (Existing != Objects.end() && Existing->second.Revision > Object.Revision)
    return false;
  if (Existing != Objects.end() && !Object.Deleted &&
      isNewer(Existing->second, &Object))
    Object.Value = Existing->second.Value;
  ++ChangeCount;
  LastChangeRevision = std::max(LastChangeRevision, Object.Revision);
  recordChange({Object.Name, Object.Revision, Object.Deleted, {}});
  if (Object.Deleted) {
    if (Existing == Objects.end())
      return false;
    Objects.erase(Existing);
    Callbacks.OnChange(Object);
    return true;
  }
  StoredObject &Entry = Objects[Object.Name];
  Entry = std::move(Object);
  Callbacks.OnChange(Entry);
  return true;
}

auto StoreFeed::changesSince(std::uint64_t Since) const
    -> std::optional<std::vector<StoredObject>> {
  if (!Loaded || Since < RecentAfterRevision)
    return std::nullopt;
  std::vector<StoredObject> Changes;
  for (const StoredObject &Change : RecentChanges)
    if (Change.Revision > Since)
      Changes.push_back(Change.Deleted ? Change : Objects.at(Change.Name));
  return Changes;
}

auto StoreFeed::differsFrom(std::uint64_t Since) const -> bool {
  return !Loaded || Since < RecentAfterRevision ||
         (!RecentChanges.empty() && RecentChanges.back().Revision > Since);
}

auto StoreFeed::applyPeerSnapshot(std::vector<StoredObject> Snapshot,
                                  std::uint64_t SnapshotRevision) -> void {
  if (Loaded && SnapshotRevision <= Revision)
    return;
  applySnapshot(std::move(Snapshot), SnapshotRevision);
}

} // namespace buckthornring
