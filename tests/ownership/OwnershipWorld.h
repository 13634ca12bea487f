#pragma once

#include "buckthornring/Ownership/LeaderCore.h"
#include "buckthornring/Ownership/RoutingLease.h"
#include "ownership/FakePlatform.h"
#include "ownership/FakeTarget.h"
#include "ownership/Schedule.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornring::test {

/// Several instances, targets and a platform in virtual time, with faults on
/// every interface. One verified service "v" and one unverified service "u".
class OwnershipWorld {
public:
  struct Options {
    std::uint64_t Seed = 1;
    SafetySwitches Switches;
    OwnershipTimes Times;
    std::size_t Instances = 4;
    std::size_t VerifiedTargets = 4;
    std::size_t UnverifiedTargets = 3;
    std::uint32_t VerifiedSlices = 8;
    std::uint32_t UnverifiedSlices = 4;
    Duration MaxDeadline = std::chrono::milliseconds(400);
    TrueTime Tick = 20 * Millisecond;
    /// Requests to the unverified service; zero turns them off.
    TrueTime RequestEvery = 15 * Millisecond;
    bool ClockDrift = true;
    /// All instances fast and all targets slow, instead of random rates.
    bool SlowTargets = false;
    bool Trace = false; ///< Prints leases, terms and faults.
  };

  struct Instance {
    std::string Host; ///< Name that survives restarts.
    InstanceId Id;    ///< Name of this process start.
    ProcessClock Clock;
    std::unique_ptr<LeaderCore> Core;
    std::unique_ptr<RoutingLease> Routing;
    bool Up = false;
    TrueTime PausedUntil = 0;
    std::vector<std::function<void()>> Inbox; ///< Arrived while paused.
    std::uint64_t Run = 0;
    std::string Shown; ///< Last traced state.
  };

  struct Target {
    TargetId Id;
    ProcessClock Clock;
    std::optional<FakeTarget> Process; ///< Empty while down.
    bool Verified = true;
    bool Up = true;
    TrueTime PausedUntil = 0;
    std::vector<std::function<void()>> Inbox;
    std::uint64_t Run = 0;
  };

  struct Network {
    double Loss = 0;
    double Repeat = 0;
    double Late = 0;
    TrueTime LateUpTo = 3 * Second;
  };

  struct PlatformFaults {
    bool Outage = false;
    double LostAnswer = 0; ///< The write takes effect, the answer is lost.
    double LateEffect = 0; ///< The write takes effect after the answer.
    double Stale = 0;
  };

  explicit OwnershipWorld(const Options &Given);

  auto run(TrueTime Span) -> void { Queue.runUntil(Queue.now() + Span); }
  auto now() const -> TrueTime { return Queue.now(); }

  // Faults.
  auto pauseInstance(std::size_t Index, TrueTime Span) -> void;
  auto pauseTarget(std::size_t Index, TrueTime Span) -> void;
  auto killInstance(std::size_t Index) -> void;
  auto startInstance(std::size_t Index) -> void;
  auto stopTarget(std::size_t Index) -> void;
  auto startTarget(std::size_t Index) -> void;
  auto cut(const std::string &Left, const std::string &Right, TrueTime Span)
      -> void;
  auto resign(std::size_t Index) -> void;
  /// The operator takes a target out and confirms in the configuration that it
  /// runs no more.
  auto confirmLost(std::size_t Index) -> void;
  auto heal() -> void;

  // Observations.
  auto violation() const -> const std::string & { return Violation; }
  auto leader() const -> std::optional<std::size_t>;
  /// Bit mask of the slices of the verified service that a running target would
  /// run now, for services of at most 32 slices.
  auto served() -> std::uint32_t;
  auto ownerOf(std::uint32_t Slice) -> std::optional<std::size_t>;
  /// Bit mask of the unverified slices for which some instance would send now.
  auto routed() const -> std::uint32_t;
  auto describe() const -> std::string;
  auto describe(const Instance &Of) const -> std::string;

  Network Net;
  PlatformFaults Faults;
  EventQueue Queue;
  RandomSource Random;
  std::vector<Instance> Instances;
  std::vector<Target> Targets;

private:
  struct Request {
    std::uint32_t Slice = 0;
    std::size_t Target = 0;
    std::size_t Instance = 0;
    std::uint64_t Run = 0;
    bool Open = true;
  };

  auto services() const -> std::vector<OwnedService>;
  auto newClock(bool OfTarget) -> ProcessClock;
  auto local(const Instance &Of) const -> TimePoint {
    return Of.Clock.at(Queue.now());
  }
  auto blocked(const std::string &Left, const std::string &Right) const -> bool;
  auto deliver(const std::string &From, const std::string &To,
               const std::function<void()> &Run) -> void;
  auto toInstance(std::size_t Index, std::uint64_t Run,
                  const std::function<void(Instance &)> &Handle) -> void;
  auto toTarget(std::size_t Index, const std::function<void(Target &)> &Handle)
      -> void;
  auto indexOf(const InstanceId &Id) const -> std::optional<std::size_t>;
  auto tickInstance(std::size_t Index, std::uint64_t Run) -> void;
  auto perform(std::size_t Index, OwnershipActions Actions) -> void;
  auto performNow(std::size_t Index, std::uint64_t Run, OwnershipAction Action)
      -> void;
  auto sendLink(std::size_t Index, const SendLink &Send) -> void;
  auto receiveLink(Instance &To, const InstanceId &From,
                   const LinkMessage &Message) -> void;
  auto sendLease(std::size_t Index, const SendLease &Send) -> void;
  auto readObject(std::size_t Index, const ReadObject &Read) -> void;
  auto writeObject(std::size_t Index, const WriteObject &Write) -> void;
  auto sendRequests(std::size_t Index, std::uint64_t Run) -> void;
  auto pollHealth(std::size_t Index) -> void;

  auto checkGrant(const Target &Of) -> void;
  auto checkSend(std::uint32_t Slice, std::size_t To) -> void;
  auto checkRouting() -> void;
  auto checkAcknowledged(Instance &Of) -> void;
  auto fail(const std::string &What) -> void;
  auto trace(const std::string &What) const -> void;
  auto traceLease(const Target &Of, const LeaseMessage &Message,
                  const LeaseReply &Reply) const -> void;

  Options Set;
  FakePlatform Platform;
  std::map<std::pair<std::string, std::string>, int> Cuts;
  std::vector<std::shared_ptr<Request>> Requests;
  std::set<TargetId> ConfirmedLost;
  std::uint64_t Runs = 0;
  std::string Violation;
  /// Highest epoch under which each slice was held, and the holder.
  std::map<std::uint32_t, std::pair<Epoch, std::size_t>> HighestHeld;
  struct Assignment {
    Epoch At;
    TargetId Owner;
    std::uint64_t Term = 0; ///< Of the leader that acknowledged it.
  };
  std::map<std::pair<std::string, std::uint32_t>, Assignment> Acknowledged;
};

} // namespace buckthornring::test
