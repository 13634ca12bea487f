#pragma once

#include "Entry/RoutingSnapshot.h"
#include "Entry/TargetStats.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Limits/FairQueue.h"
#include "buckthornring/Routing/TargetChooser.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace buckthornring {

/// What a request needs from a target.
struct DispatchWish {
  ServiceId Service;
  WorkspaceId Workspace;
  std::optional<std::uint32_t> Slice; ///< For divided services.
  std::vector<TargetId> Avoided;      ///< Tried before, undivided services.
  bool Relayed = false;               ///< Must be run in this data centre.
};

/// A target with one slot taken for the request.
struct DispatchPlace {
  TargetId Target;
  std::string Address;
  std::size_t ConnectionLimit = 1;
  std::optional<Epoch> Slice;
  std::shared_ptr<TargetGate> Gate;
  bool Relay = false; ///< An instance of another data centre, not a target.
};

enum class DispatchFailure {
  Busy,        ///< No free slot; wait().
  NoOwner,     ///< The slice has no owner that takes requests.
  NoTarget,    ///< No target takes new work.
  AllTried,    ///< Only avoided targets take new work.
  Unreachable, ///< Homed in a data centre without a reachable instance.
};

/// Hands out slots of targets to the requests of one traffic thread, by fair
/// queue when they are short.
class Dispatcher {
public:
  using Ticket = std::uint64_t;
  using Handler = std::function<void(const DispatchPlace &)>;
  using Wake = std::function<void(std::size_t Thread, const ServiceId &)>;

  /// \p Stats belongs to the same thread. \p WakeOther makes another thread
  /// call serve().
  Dispatcher(std::size_t Thread, TargetStats &Stats, RandomSource &Random,
             Wake WakeOther);

  auto setSnapshot(std::shared_ptr<const RoutingSnapshot> Next) -> void;

  /// Whether the request has to run in another data centre: its slice is homed
  /// there, or no local target of an undivided service takes new work.
  auto relays(const DispatchWish &Wish) const -> bool;

  /// Takes a slot at once. Busy while other requests wait for the same slots.
  auto tryPlace(const DispatchWish &Wish)
      -> std::variant<DispatchPlace, DispatchFailure>;

  /// Queues a request for which tryPlace() was Busy. Returns nothing when its
  /// workspace's queue is full. \p Placed runs from serve() or release(), with
  /// a place without a gate when the request has to be placed anew.
  auto wait(DispatchWish Wish, Handler Placed) -> std::optional<Ticket>;
  auto cancel(Ticket Number) -> void;

  /// Gives back the slot of a place.
  auto release(const ServiceId &Service, TargetGate &Gate) -> void;

  /// Serves waiting requests of one service, or of all.
  auto serve(const ServiceId &Service) -> void;
  auto serveAll() -> void;

  /// Returns the owner of a slice that takes requests, or null.
  auto owner(const ServiceId &Service, std::uint32_t Slice) const
      -> const SliceOwner *;
  auto waiting() const -> std::size_t { return Entries.size(); }

private:
  /// Requests that compete for the same slots: one target of a divided
  /// service, or all targets of an undivided one (Target is then empty).
  struct LaneKey {
    ServiceId Service;
    TargetId Target;

    friend auto operator<(const LaneKey &First, const LaneKey &Second) -> bool {
      return std::tie(First.Service, First.Target) <
             std::tie(Second.Service, Second.Target);
    }
  };
  struct Entry {
    LaneKey Lane;
    DispatchWish Wish;
    Handler Placed;
  };

  auto view(const ServiceId &Service) const -> const ServiceView *;
  auto laneOf(const DispatchWish &Wish) const -> std::optional<LaneKey>;
  auto take(const ServiceView &Service, const DispatchWish &Wish)
      -> std::variant<DispatchPlace, DispatchFailure>;
  auto takeOwner(const ServiceView &Service, std::uint32_t Slice)
      -> std::variant<DispatchPlace, DispatchFailure>;
  auto takeChosen(const ServiceView &Service,
                  const std::vector<TargetId> &Avoided)
      -> std::variant<DispatchPlace, DispatchFailure>;
  auto relayHome(const ServiceView &Service, const DispatchWish &Wish) const
      -> std::optional<DataCentreId>;
  auto takeRelay(const DataCentreId &Home)
      -> std::variant<DispatchPlace, DispatchFailure>;
  auto limitOf(const ServiceView &Service, const TargetView &Target) const
      -> std::uint32_t;
  auto serveLane(const LaneKey &Lane) -> void;
  auto hasSlot(const LaneKey &Lane) const -> bool;
  auto markWaiting(const ServiceId &Service) -> void;
  auto wakeNext(const ServiceView &Service) -> void;

  std::size_t Thread;
  TargetStats &Stats;
  RandomSource &Random;
  Wake WakeOther;
  std::unique_ptr<TargetChooser> Chooser;
  std::shared_ptr<const RoutingSnapshot> Snapshot;
  std::map<LaneKey, FairQueue> Lanes;
  std::unordered_map<Ticket, Entry> Entries;
  Ticket LastTicket = 0;
};

} // namespace buckthornring
