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

/// Follows all objects of one kind in the store: lists them once, then watches
/// for changes, and lists them again when the store no longer keeps the history
/// since the last known revision or was restored from a copy.
class StoreFeed {
public:
  using ObjectMap = std::map<std::string, StoredObject>;

  struct Options {
    std::string Kind;
    /// Longest time that one watch waits for a change. Its answer proves
    /// contact with the store.
    Duration WatchTimeout = std::chrono::seconds(25);
    std::uint64_t Seed = 1;
    /// Upper bound of the back-off between calls while the store does not
    /// answer.
    Duration MaxBackoff = std::chrono::milliseconds(1200);
    /// Whether a known object is newer than the one that the store holds (null:
    /// none) since it was restored from a copy. The known one is then kept, and
    /// handed on, with the store's revision.
    std::function<bool(const StoredObject &Known, const StoredObject *Held)>
        IsNewer = {};
  };
  struct Handlers {
    /// All objects have been read; they replace the earlier ones.
    std::function<void(const ObjectMap &)> OnSnapshot;
    std::function<void(const StoredObject &)> OnChange;
    /// Contact with the store was lost or regained.
    std::function<void(bool Connected, const char *Reason)> OnContact;
    /// New objects have been read. Called after the handlers above.
    std::function<void()> OnAdvanced = [] {};
    /// The store was restored from a copy. Called while objects() are still the
    /// earlier ones; OnSnapshot follows.
    std::function<void(std::uint64_t RevisionBefore,
                       std::uint64_t RevisionAfter)>
        OnRestored = [](std::uint64_t, std::uint64_t) {};
  };

  StoreFeed(boost::asio::io_context &Context, ObjectStore &Store,
            Options Settings, Handlers Callbacks);
  ~StoreFeed();
  StoreFeed(const StoreFeed &) = delete;
  auto operator=(const StoreFeed &) -> StoreFeed & = delete;

  auto start() -> void { list(); }
  auto kind() const -> const std::string & { return Settings.Kind; }

  /// Adopts the objects that another instance has read from the store up to \p
  /// Revision, if that is newer.
  auto applyPeerSnapshot(std::vector<StoredObject> Objects,
                         std::uint64_t Revision) -> void;

  /// Another feed has reached the store: retries at once instead of waiting for
  /// the end of the back-off or for a call to which no response is arriving.
  auto retry() -> void;

  /// The connection of the open watch may be dead: lists all objects in place
  /// of the watch, unless its response is arriving. Does nothing while a list
  /// is open.
  auto recheck() -> void;

  /// Lists all objects at once, whatever call is unanswered, or after the
  /// response that is arriving.
  auto reread() -> void;

  /// Lists all objects once, in addition to the open watch.
  auto refresh() -> void;

  /// Whether the response to the open call is arriving.
  auto receiving() const -> bool { return OpenRead && OpenRead->receiving(); }
  auto loaded() const -> bool { return Loaded; }
  /// Whether changes up to \p Others, which another instance has read, are
  /// missing and are not arriving either. The first read may take longer than
  /// any change does, so it is waited for until it fails.
  auto isBehind(std::uint64_t Others) const -> bool {
    const bool FirstRead = !Loaded && Failures == 0;
    return Revision < Others && !FirstRead && !receiving();
  }
  auto connected() const -> bool { return Connected; }
  /// Time at which the last answered call was sent. The state of the store at
  /// that time is known; the answer itself may have been delayed on its way.
  auto confirmedAt() const -> TimePoint { return ConfirmedAt; }
  auto setWatchTimeout(Duration Timeout) -> void {
    Settings.WatchTimeout = Timeout;
  }
  /// When the store answered again after the last outage that was long enough
  /// for records to expire, or after its last restoration from a copy.
  auto outageEndedAt() const -> TimePoint { return OutageEndedAt; }
  /// Whether there has been no contact for long enough for records to expire.
  auto inOutage() const -> bool;
  /// Revision of the newest change that was seen.
  auto lastChangeRevision() const -> std::uint64_t {
    return LastChangeRevision;
  }
  auto revision() const -> std::uint64_t { return Revision; }
  /// Rises whenever objects() or changesSince() may return something else.
  auto changeCount() const -> std::uint64_t { return ChangeCount; }
  /// Returns the objects that changed after \p Since in the order of their last
  /// changes, deleted ones included, or nothing when not all of these changes
  /// are kept any more or the store was restored from a copy since.
  auto changesSince(std::uint64_t Since) const
      -> std::optional<std::vector<StoredObject>>;
  /// Whether changesSince() returns any objects, or nothing.
  auto differsFrom(std::uint64_t Since) const -> bool;
  auto objects() const -> const ObjectMap & { return Objects; }

private:
  /// Ends the open call, which would otherwise take its share of the link.
  auto cancelOpenRead() -> void;
  auto list() -> void;
  auto onList(StoreChanges Changes) -> void;
  auto watch() -> void;
  /// Makes the next call after an answered one, \p Delay later if it is a
  /// watch.
  auto continueAfter(Duration Delay) -> void;
  auto onChanges(StoreChanges Changes) -> void;
  auto apply(StoredObject Object) -> bool;
  auto recordChange(StoredObject Object) -> void;
  /// Records the differences between the known objects and \p Listed as
  /// changes.
  auto recordDifferences(const ObjectMap &Listed,
                         std::uint64_t SnapshotRevision) -> void;
  /// Puts known objects in place of older ones in \p Listed.
  auto keepNewer(ObjectMap &Listed, std::uint64_t SnapshotRevision) const
      -> void;
  auto isNewer(const StoredObject &Known, const StoredObject *Held) const
      -> bool {
    return Settings.IsNewer && Settings.IsNewer(Known, Held);
  }
  auto applySnapshot(std::vector<StoredObject> Snapshot,
                     std::uint64_t SnapshotRevision) -> void;
  /// The store was restored from a copy, whose objects are about to replace the
  /// known ones.
  auto onRestored(std::uint64_t SnapshotRevision) -> void;
  auto onSuccess(Duration Age) -> void;
  auto onFailure(StoreStatus Status) -> void;
  auto schedule(Duration Delay, void (StoreFeed::*Next)()) -> void;

  ObjectStore &Store;
  Options Settings;
  Handlers Callbacks;
  boost::asio::steady_timer Timer;
  RandomSource Random;
  ObjectMap Objects;
  /// The last change of each object that was changed recently, newest last,
  /// without the values, which are in Objects: the ranges of a divided service
  /// may change several times per second, and 256 copies of them took 12 MB.
  std::deque<StoredObject> RecentChanges;
  /// RecentChanges holds all objects that were changed after this revision.
  std::uint64_t RecentAfterRevision = 0;
  std::uint64_t Revision = 0;
  std::uint64_t LastChangeRevision = 0;
  std::uint64_t ChangeCount = 0;
  TimePoint LostAt = LongAgo;
  TimePoint OutageEndedAt = LongAgo;
  TimePoint RequestedAt = LongAgo;
  TimePoint ConfirmedAt = LongAgo;
  std::uint32_t Failures = 0;
  std::uint64_t CallNumber = 0;  ///< Number of the call whose answer is used.
  ObjectStore::ReadPtr OpenRead; ///< The call of that number.
  bool Listing = false;          ///< The open call is a list.
  bool ListNext = false;         ///< The call after the open one is a list.
  bool BackingOff = false;       ///< A call failed; the next one is scheduled.
  bool Loaded = false;
  bool Connected = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
