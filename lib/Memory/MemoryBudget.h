#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace buckthornring {

/// How a connection uses its memory.
enum class MemoryUse {
  Idle,      ///< Holds nothing that can be given back.
  Receiving, ///< A request or response arrives.
  Sending,   ///< Responses wait for their caller to read them.
};

inline constexpr EnumNames<MemoryUse, 3> MemoryUseNames({"idle", "receiving",
                                                         "sending"});

/// A connection that holds memory of a MemoryBudget and may be asked to give it
/// back.
class MemoryHolder {
public:
  struct State {
    MemoryUse Use = MemoryUse::Idle;
    std::size_t Bytes = 0;     ///< Held.
    std::size_t Remaining = 0; ///< Still to be received or sent, if known.
    /// Time for which the peer has sent or read hardly anything, without the
    /// time in which the connection itself did not read what had arrived.
    Duration Stalled{0};
  };

  virtual ~MemoryHolder() = default;
  virtual auto memoryState(TimePoint Now) const -> State = 0;
  /// Refuses what is being received, or closes the connection.
  virtual auto releaseMemory() -> void = 0;
  /// There is room again after MemoryBudget::mayReceive has returned false.
  virtual auto resumeReceiving() -> void = 0;
};

/// Account of the memory that a process holds for callers, targets and peers.
///
/// Connections ask before they read on. When the budget is short they wait, and
/// if that does not help the budget makes connections give their memory back:
/// first those that hold most for longest without progress, then those that
/// have most left to transfer. Connections that hold no more than OrdinaryBytes
/// use a reserve and come last. Used by one thread; does no input or output.
class MemoryBudget {
public:
  struct Counts {
    std::uint64_t Waits = 0;    ///< Connections that had to wait.
    std::uint64_t Released = 0; ///< Connections made to give memory back.
    std::uint64_t ReleasedBytes = 0;
    std::uint64_t Shortages = 0; ///< Periods with waiting connections.
  };

  /// Share of the machine's memory that may be held in all. The peak of the
  /// process has to stay below 0.8; the rest is for fragments of the heap.
  static constexpr double UsableShare = 0.76;
  /// Memory of the process at rest with its tables. 8.7 MB were measured with
  /// one target.
  static constexpr std::size_t ProcessBytes = 12'000'000;
  /// Least budget of a machine with little memory.
  static constexpr std::size_t MinLimit = 4'000'000;
  /// Most that a connection with an ordinary request holds.
  static constexpr std::size_t OrdinaryBytes = 64UL * 1024;
  /// Part of the limit that only connections with ordinary requests use.
  static constexpr std::size_t ReserveDivisor = 8;
  /// A peer that has sent or read hardly anything for this time counts as
  /// stalled. Pauses of working connections are a few round trips.
  static constexpr Duration StallPeriod = std::chrono::milliseconds(250);
  /// Time for which connections wait without any memory becoming free before
  /// others have to give theirs back.
  static constexpr Duration WaitPeriod = std::chrono::milliseconds(100);

  /// The same before waiting connections with ordinary requests are ended
  /// although they have not stalled: longer than most requests run, whose ends
  /// free memory too.
  static constexpr Duration OrdinaryWaitPeriod = std::chrono::seconds(1);
  /// Memory that has to become free within that time, as a part of the limit.
  /// Short requests that come and go meanwhile free less.
  static constexpr std::size_t ProgressDivisor = 128;

  /// \p Limit in bytes; 0: no limit.
  explicit MemoryBudget(std::size_t Limit = 0) : Limit(Limit) {}

  /// Budget of a process on a machine with this memory. 0: no limit.
  static auto limitFor(double MachineBytes) -> std::size_t;

  auto limit() const -> std::size_t { return Limit; }
  auto used() const -> std::size_t { return Used; }
  auto peak() const -> std::size_t { return Peak; }
  /// Starts a new period of peak().
  auto resetPeak() -> void { Peak = Used; }
  auto counts() const -> const Counts & { return Totals; }
  /// Whether connections wait for memory.
  auto isShort() const -> bool { return !Waiting.empty(); }

  auto add(std::size_t Bytes) -> void;
  auto remove(std::size_t Bytes) -> void;

  auto enter(MemoryHolder &Holder) -> void;
  auto leave(MemoryHolder &Holder) -> void;

  /// Whether a connection that holds \p Held bytes may receive \p Wanted more.
  /// If not, it does not read until MemoryHolder::resumeReceiving.
  auto mayReceive(MemoryHolder &Holder, std::size_t Held, std::size_t Wanted)
      -> bool;

  /// Called when a connection begins to wait. relieve() is to be called soon
  /// then, and regularly while isShort().
  auto onShort(std::function<void()> Handler) -> void {
    OnShort = std::move(Handler);
  }
  /// Resumes waiting connections or makes others give their memory back.
  auto relieve(TimePoint Now) -> void;

private:
  struct Candidate;
  struct Waiter {
    MemoryHolder *Holder;
    std::size_t Held;
    std::size_t Wanted;
  };

  auto fits(std::size_t Held, std::size_t Wanted) const -> bool;
  auto resumeWaiting() -> bool;
  auto restartWait(TimePoint Now) -> void;
  auto releaseSome(TimePoint Now) -> void;
  /// Makes connections give back their memory, in this order, until an eighth
  /// of the limit is free. Returns whether any was freed.
  auto release(const std::vector<Candidate> &Order) -> bool;
  /// Waiting connections with ordinary requests, most left to transfer first.
  auto ordinaryWaiting(TimePoint Now) const -> std::vector<Candidate>;
  auto candidates(TimePoint Now) const -> std::vector<Candidate>;

  std::size_t Limit;
  std::size_t Used = 0;
  std::size_t Peak = 0;
  std::vector<MemoryHolder *> Holders;
  std::vector<Waiter> Waiting; ///< In the order of their arrival.
  bool Resuming = false;       ///< The first of those that wait asks again.
  TimePoint LastRelief = LongAgo;
  TimePoint StuckSince = LongAgo; ///< Valid while isShort().
  std::size_t StuckBytes = 0;     ///< Used then.
  std::function<void()> OnShort;
  Counts Totals;
};

/// Bytes that one owner holds of a budget. Given back when it is destroyed.
class MemoryCharge {
public:
  MemoryCharge() = default;
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> Budget)
      : Budget(std::move(Budget)) {}
  ~MemoryCharge() { set(0); }
  MemoryCharge(MemoryCharge &&Other) noexcept
      : Budget(std::move(Other.Budget)), Bytes(std::exchange(Other.Bytes, 0)) {}
  auto operator=(MemoryCharge &&Other) noexcept -> MemoryCharge & {
    set(0);
    Budget = std::move(Other.Budget);
    Bytes = std::exchange(Other.Bytes, 0);
    return *this;
  }

  auto bytes() const -> std::size_t { return Bytes; }
  auto set(std::size_t Wanted) -> void {
    if (Budget && Wanted > Bytes)
      Budget->add(Wanted - Bytes);
    else if (Budget)
      Budget->remove(Bytes - Wanted);
    Bytes = Wanted;
  }

private:
  std::shared_ptr<MemoryBudget> Budget;
  std::size_t Bytes = 0;
};

} // namespace buckthornring
