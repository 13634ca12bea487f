#include "Gateway/StoreFeed.h"

#include "IO/BootClock.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <string_view>

namespace buckthornring {

namespace {

/// Pause before the next watch after changes: several changes that follow one
/// another then cost one call. Short against the seconds in which changes have
/// to be in force.
constexpr Duration GatherTime = std::chrono::milliseconds(200);

/// Shortest known time without contact that counts as an outage, in which
/// records of targets may have lapsed. A watch that was merely cut is followed
/// by an answer to the next call, sooner than this.
constexpr Duration ShortestOutage = std::chrono::milliseconds(500);

/// Age of a call without an answer that is repeated once the store is known to
/// be reachable; it answers in a few milliseconds.
constexpr Duration CallPatience = std::chrono::milliseconds(100);

/// Changes that are kept for instances that read through this one.
constexpr std::size_t MaxRecent = 256;

constexpr Duration FirstBackoff = std::chrono::milliseconds(150);

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context &Context, ObjectStore &Store,
                     Options Settings, Handlers Callbacks)
    : Store(Store), Settings(std::move(Settings)),
      Callbacks(std::move(Callbacks)), Timer(Context),
      Random(this->Settings.Seed) {}

StoreFeed::~StoreFeed() { *Alive = false; }

auto StoreFeed::later(Duration Delay, void (StoreFeed::*Next)()) -> void {
  Timer.expires_after(Delay);
  Timer.async_wait(
      [this, Next, Living = Alive](const boost::system::error_code &Cancelled) {
        if (!Cancelled && *Living)
          (this->*Next)();
      });
}

auto StoreFeed::inOutage() const -> bool {
  return !Connected && bootNow() - LostAt > ShortestOutage;
}

auto StoreFeed::succeeded(Duration Age) -> void {
  if (Loaded && !Connected && AskedAt - LostAt > ShortestOutage)
    OutageEndedAt = AskedAt;
  KnownAt = std::max(KnownAt, AskedAt - Age);
  Failures = 0;
  if (std::exchange(Connected, true))
    return;
  Callbacks.OnContact(true, "answered");
}

// Goes on with a read of all objects: unlike a watch, it is answered at once
// and so tells that the store is back.
auto StoreFeed::failed(StoreStatus Status) -> void {
  if (Connected)
    LostAt = bootNow();
  if (std::exchange(Connected, false))
    Callbacks.OnContact(false, StoreStatusNames.name(Status).data());
  const double Factor = std::pow(2.0, std::min(Failures, 5U));
  ++Failures;
  Pausing = true;
  const auto Delay =
      std::min(std::chrono::duration_cast<Duration>(FirstBackoff * Factor),
               Settings.LongestBackoff);
  later(std::chrono::duration_cast<Duration>(Delay *
                                             (0.75 + 0.5 * Random.unit())),
        &StoreFeed::list);
}

auto StoreFeed::list() -> void {
  AskedAt = bootNow();
  Pausing = false;
  Store.list(Settings.Kind, [this, Number = ++CallNumber,
                             Living = Alive](const StoreChanges &Changes) {
    if (*Living && Number == CallNumber)
      gotList(Changes);
  });
}

auto StoreFeed::retry() -> void {
  if (Connected || (!Pausing && bootNow() - AskedAt < CallPatience))
    return;
  Timer.cancel();
  list();
}

auto StoreFeed::recheck() -> void {
  if (!Connected || bootNow() - AskedAt < CallPatience)
    return;
  Timer.cancel();
  list();
}

auto StoreFeed::refresh() -> void {
  Store.list(Settings.Kind, [this, SentAt = bootNow(),
                             Living = Alive](const StoreChanges &Changes) {
    // After a failure the watch brings the changes.
    if (!*Living || Changes.Status != StoreStatus::Done)
      return;
    KnownAt = std::max(KnownAt, SentAt - Changes.Age);
    takeWhole(Changes.Objects, Changes.Revision);
  });
}

auto StoreFeed::gotList(const StoreChanges &Changes) -> void {
  if (Changes.Status != StoreStatus::Done)
    return failed(Changes.Status);
  succeeded(Changes.Age);
  takeWhole(Changes.Objects, Changes.Revision);
  watch();
}

auto StoreFeed::takeWhole(const std::vector<StoredObject> &Whole,
                          std::uint64_t At) -> void {
  if (Loaded && At < Revision)
    return;
  rememberDifferences(Whole, At);
  Objects.clear();
  for (const StoredObject &Object : Whole) {
    Objects[Object.Name] = Object;
    LastChange = std::max(LastChange, Object.Revision);
  }
  Revision = At;
  Loaded = true;
  Callbacks.OnWhole(Objects);
  Callbacks.OnAdvanced();
}

auto StoreFeed::remember(StoredObject Object) -> void {
  Recent.push_back(std::move(Object));
  if (Recent.size() <= MaxRecent)
    return;
  RecentAfter = Recent.front().Revision;
  Recent.pop_front();
}

auto StoreFeed::rememberDifferences(const std::vector<StoredObject> &Whole,
                                    std::uint64_t At) -> void {
  if (!Loaded) {
    RecentAfter = At;
    return;
  }
  std::vector<StoredObject> Changed;
  std::set<std::string_view> Listed;
  for (const StoredObject &Object : Whole) {
    Listed.insert(Object.Name);
    const auto Known = Objects.find(Object.Name);
    if (Known == Objects.end() || Known->second.Revision < Object.Revision)
      Changed.push_back(Object);
  }
  // The revision at which an object was removed is not told.
  for (const auto &[Name, Known] : Objects)
    if (!Listed.contains(Name))
      Changed.push_back({Name, At, true, Known.Value});
  std::sort(Changed.begin(), Changed.end(),
            [](const StoredObject &First, const StoredObject &Second) {
              return First.Revision < Second.Revision;
            });
  for (StoredObject &Each : Changed)
    remember(std::move(Each));
}

auto StoreFeed::watch() -> void {
  AskedAt = bootNow();
  Store.watch(Settings.Kind, Revision, Settings.WatchWait,
              [this, Number = ++CallNumber,
               Living = Alive](const StoreChanges &Changes) {
                if (*Living && Number == CallNumber)
                  gotChanges(Changes);
              });
}

auto StoreFeed::gotChanges(const StoreChanges &Changes) -> void {
  if (Changes.Status == StoreStatus::HistoryLost)
    return list();
  if (Changes.Status != StoreStatus::Done)
    return failed(Changes.Status);
  succeeded(Changes.Age);
  bool Changed = false;
  for (const StoredObject &Object : Changes.Objects)
    Changed = apply(Object) || Changed;
  Revision = std::max(Revision, Changes.Revision);
  if (Changed)
    Callbacks.OnAdvanced();
  // A store that answers at once without changes must not be asked in a loop.
  const bool Early = bootNow() - AskedAt < GatherTime;
  if (Changed || Early)
    return later(GatherTime, &StoreFeed::watch);
  watch();
}

auto StoreFeed::apply(const StoredObject &Object) -> bool {
  const auto Known = Objects.find(Object.Name);
  if (Known != Objects.end() && Known->second.Revision > Object.Revision)
    return false;
  LastChange = std::max(LastChange, Object.Revision);
  remember(Object);
  if (Object.Deleted) {
    if (Known == Objects.end())
      return false;
    Objects.erase(Known);
  } else {
    Objects[Object.Name] = Object;
  }
  Callbacks.OnChange(Object);
  return true;
}

auto StoreFeed::changesSince(std::uint64_t Since) const
    -> std::optional<std::vector<StoredObject>> {
  if (!Loaded || Since < RecentAfter)
    return std::nullopt;
  std::vector<StoredObject> Out;
  std::copy_if(
      Recent.begin(), Recent.end(), std::back_inserter(Out),
      [Since](const StoredObject &Each) { return Each.Revision > Since; });
  return Out;
}

auto StoreFeed::applyFromPeer(const std::vector<StoredObject> &Whole,
                              std::uint64_t At) -> void {
  if (Loaded && At <= Revision)
    return;
  takeWhole(Whole, At);
}

} // namespace buckthornring
