#pragma once

#include "Gateway/Protocol.h"
#include "buckthornring/Common/Random.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// Follows all objects of one kind in the store: reads them once, then watches
/// for changes, and reads them again when the history was lost.
class StoreFeed {
public:
  struct Options {
    std::string Kind;
    /// Longest wait of one watch; its answer proves contact with the store.
    Duration WatchWait = std::chrono::seconds(25);
    std::uint64_t Seed = 1;
    /// Longest pause between calls while the store does not answer.
    Duration LongestBackoff = std::chrono::milliseconds(1200);
  };
  struct Handlers {
    /// All objects as they are now.
    std::function<void(const std::map<std::string, StoredObject> &)> OnWhole;
    std::function<void(const StoredObject &)> OnChange;
    /// Contact with the store was lost or regained.
    std::function<void(bool Connected, const char *Reason)> OnContact;
    /// There are new objects; after the calls for each of them.
    std::function<void()> OnAdvanced = [] {};
  };

  StoreFeed(boost::asio::io_context &Context, ObjectStore &Store,
            Options Settings, Handlers Callbacks);
  ~StoreFeed();
  StoreFeed(const StoreFeed &) = delete;
  auto operator=(const StoreFeed &) -> StoreFeed & = delete;

  auto start() -> void { list(); }

  /// Takes over what a peer has read from the store, when it is newer.
  auto applyFromPeer(const std::vector<StoredObject> &Objects,
                     std::uint64_t Revision) -> void;

  /// The store was reached by another feed: asks at once instead of after the
  /// pause, or instead of waiting for a call that was sent before.
  auto retry() -> void;

  /// The open watch may have gone silent: reads all objects in its place.
  auto recheck() -> void;

  /// Reads all objects once more, beside the watch.
  auto refresh() -> void;

  auto loaded() const -> bool { return Loaded; }
  auto connected() const -> bool { return Connected; }
  /// What the store held at this time is known: when the last answered call
  /// was sent. The answer itself may have been held up on its way.
  auto confirmedAt() const -> TimePoint { return KnownAt; }
  auto setWatchTimeout(Duration Wait) -> void { Settings.WatchWait = Wait; }
  /// When the store was last reached again after an outage that was long enough
  /// for records to lapse.
  auto outageEndedAt() const -> TimePoint { return OutageEndedAt; }
  /// Whether such an outage goes on.
  auto inOutage() const -> bool;
  /// Revision of the newest change seen.
  auto lastChange() const -> std::uint64_t { return LastChange; }
  auto revision() const -> std::uint64_t { return Revision; }
  /// The objects changed after \p Since in their order, deleted ones included,
  /// or nothing when they are not all known any more.
  auto changesSince(std::uint64_t Since) const
      -> std::optional<std::vector<StoredObject>>;
  auto objects() const -> const std::map<std::string, StoredObject> & {
    return Objects;
  }

private:
  auto list() -> void;
  auto gotList(const StoreChanges &Changes) -> void;
  auto watch() -> void;
  auto gotChanges(const StoreChanges &Changes) -> void;
  auto apply(const StoredObject &Object) -> bool;
  auto remember(StoredObject Object) -> void;
  /// Remembers what differs between the known objects and \p Whole.
  auto rememberDifferences(const std::vector<StoredObject> &Whole,
                           std::uint64_t At) -> void;
  auto takeWhole(const std::vector<StoredObject> &Whole, std::uint64_t At)
      -> void;
  auto succeeded(Duration Age) -> void;
  auto failed(StoreStatus Status) -> void;
  auto later(Duration Delay, void (StoreFeed::*Next)()) -> void;

  ObjectStore &Store;
  Options Settings;
  Handlers Callbacks;
  boost::asio::steady_timer Timer;
  RandomSource Random;
  std::map<std::string, StoredObject> Objects;
  std::deque<StoredObject> Recent; ///< Changes in their order.
  std::uint64_t RecentAfter = 0;   ///< All changes after it are in Recent.
  std::uint64_t Revision = 0;
  std::uint64_t LastChange = 0;
  TimePoint LostAt = LongAgo;
  TimePoint OutageEndedAt = LongAgo;
  TimePoint AskedAt = LongAgo;
  TimePoint KnownAt = LongAgo;
  std::uint32_t Failures = 0;
  std::uint64_t CallNumber = 0; ///< Of the call whose answer counts.
  bool Pausing = false;         ///< Between a failed call and the next one.
  bool Loaded = false;
  bool Connected = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
