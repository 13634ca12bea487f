#pragma once

#include "OverloadScenario.h"

#include "Admission/LoadNews.h"
#include "Fleet/RetryAllowance.h"
#include "Fleet/TargetTable.h"
#include "Gateway/WaitQueue.h"
#include "buckthornring/Common/Random.h"
#include "support/EventQueue.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace buckthornring::measure {

/// Value that a scheduler earns which sees all queues and slots and the mean
/// work of each kind, and sends without delay. Of the requests that still reach
/// their latency goal it runs the one of most value for its work, else the one
/// of most late value.
auto idealValue(const OverloadScenario &Scenario) -> double;

/// Simulates instances in four data centres that send the requests of one
/// service to its targets, in virtual time. The instances use the classes of
/// the product; the steps of RequestFlow are repeated here without I/O.
class OverloadSimulation {
public:
  struct Statistics {
    double Value = 0;
    std::uint64_t Requests = 0; ///< Tries of callers.
    std::uint64_t Refused = 0;
    std::uint64_t Returned = 0; ///< Tries after a refusal.
    std::uint64_t RefusedAgain = 0;
    std::uint64_t ReturnedToRoom = 0;     ///< Returned when a slot was free.
    std::uint64_t RefusedDespiteRoom = 0; ///< Of ReturnedToRoom.
    std::uint64_t Failed = 0;             ///< Tries with a failed response.
    std::uint64_t Arrivals = 0;           ///< At targets, but those shed.
    std::uint64_t TurnedAway = 0;         ///< Of Arrivals, for lack of room.
    std::uint64_t Shed = 0;               ///< Rejected whatever the load.
  };

  OverloadSimulation(const OverloadScenario &Scenario, OwnerAdmission Policy,
                     std::uint32_t InstanceCount, std::uint64_t Seed);

  auto run() -> Statistics;

private:
  /// One try of a caller.
  struct Try {
    const OverloadScenario::Arrival *Origin = nullptr;
    std::uint64_t Id = 0; ///< Orders the tries of an instance.
    std::size_t Instance = 0;
    std::uint32_t Number = 0;  ///< 0: the first try.
    bool AfterRefusal = false; ///< Of the try before.
    std::uint32_t Rejections = 0;
    std::uint32_t Runs = 0; ///< Sends that may have run.
    /// Of the last send.
    TargetPtr SentTo;
    std::size_t Target = 0;
    std::vector<TargetId> Tried;
    TimePoint NextSendAt = LongAgo;
    TimePoint WaitDeadline = LongAgo;
    TimePoint SentAt = LongAgo;
    double QueueAtSend = 0;
    WaitQueue::Ticket Ticket = 0;
    bool RoomAtArrival = false;
    bool InFlight = false; ///< At the owner, or on the way.
    bool Done = false;

    auto kind() const -> const RequestKind & {
      return RequestKinds.at(Origin->Kind);
    }
    auto deadline() const -> TimePoint { return Origin->At + kind().Deadline; }
  };
  using TryPtr = std::shared_ptr<Try>;

  struct Instance {
    std::unique_ptr<TargetTable> Table;
    std::vector<TargetPtr> Owners;
    WaitQueue Waiting;
    std::unique_ptr<RetryAllowance> Retries;
    std::map<std::uint64_t, TryPtr> Active;
    LoadNews UnsentLoads;
    /// With OwnerAdmission::EqualShares.
    std::map<TargetId, AgedLoad> UnsentLatest;
    bool NoticeArmed = false;
    bool DispatchArmed = false;
  };
  struct Target {
    std::deque<TryPtr> Running;
    std::deque<TryPtr> Waiting;
    std::uint32_t Incarnation = 0;
  };

  auto startInstance(std::size_t Index) -> void;
  auto record(std::size_t Index) const -> TargetRecord;
  auto scheduleLosses() -> void;
  auto loseTarget(std::size_t Index) -> void;
  auto returnTarget(std::size_t Index) -> void;
  auto loseInstance(std::size_t Index) -> void;
  auto selectInstance() -> std::size_t;

  auto arrive(const TryPtr &Request) -> void;
  auto sendOrWait(const TryPtr &Request) -> void;
  auto trySend(const TryPtr &Request) -> bool;
  auto selectTarget(const Try &Request) -> TargetSelection;
  auto waitLimit(const Try &Request) const -> Duration;
  /// Whether a slot is free for the try that no instance need wait for.
  auto roomFor(const Try &Request) const -> bool;
  auto armDispatch(std::size_t Index) -> void;
  auto refuse(const TryPtr &Request) -> void;
  /// Ends a try whose response failed or was lost.
  auto fail(const TryPtr &Request) -> void;
  /// Removes a try from its instance. Returns false if it had ended before.
  auto end(const TryPtr &Request) -> bool;
  /// As RequestFlow::ownerLacksRoom().
  auto lacksRoom(const Try &Request) -> bool;
  auto retryAfter(const Try &Refused) -> Duration;
  auto retryAsCaller(const Try &Refused, Duration RetryAfter, bool AfterRefusal)
      -> void;

  auto arriveAtTarget(const TryPtr &Request) -> void;
  auto startNext(std::size_t Index) -> void;
  auto respond(const TryPtr &Request, bool Rejected) -> void;
  auto onResponse(const TryPtr &Request, bool Rejected, const LoadReport &Load)
      -> void;
  auto onRejected(const TryPtr &Request) -> void;
  /// No connection to the target could be opened.
  auto onUnreachable(const TryPtr &Request) -> void;
  /// The response failed, or the connection was lost while the target ran the
  /// request.
  auto onFailed(const TryPtr &Request) -> void;
  auto scheduleLoadNotice(std::size_t Index) -> void;
  auto sendLoadNotice(std::size_t Index) -> void;
  auto noticeReceivers(std::size_t Index) -> std::vector<std::size_t>;

  /// Number of instances in the data centre of an instance, itself included.
  auto neighbours(std::size_t Index) const -> std::size_t;

  const OverloadScenario &Scenario;
  OwnerAdmission Policy;
  RandomSource Random;
  testing::EventQueue Events{TimePoint()};
  std::vector<Instance> Instances;
  std::vector<Target> Targets;
  std::map<TargetId, std::size_t> TargetIndexes;
  std::uint64_t LastTry = 0;
  Statistics Result;
};

} // namespace buckthornring::measure
