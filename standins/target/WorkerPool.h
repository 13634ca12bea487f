#pragma once

#include "buckthornring/Common/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace buckthornring::standin {

struct WorkerOptions {
  unsigned Slots = 4;
  std::size_t QueueLimit = 16;
  Duration Service = std::chrono::milliseconds(2);
  Duration ColdTime = Duration::zero(); ///< From a start to full capacity.
};

/// One request for a slot.
struct Work {
  std::string RequestId;
  std::int64_t DeadlineUs = 0;         ///< Steady clock, 0: none.
  Duration Service = Duration::zero(); ///< Zero: the usual service time.
  /// Checks that the request may still run and notes its start. The work is
  /// dropped when it returns false.
  std::function<bool()> Begin;
  std::function<void()> Done;
  std::function<void()> Shed;      ///< Called instead of Begin.
  std::function<void()> Cancelled; ///< Called after Begin, instead of Done.
};

/// Slots with a bounded queue. While cold, capacity grows from one slot and
/// each request takes up to four times as long; a request above the capacity
/// of a cold server is shed and starts the cold time again, since servers of
/// this kind collapse under full load after a start.
class Workers {
public:
  enum class CancelEffect { Unknown, Queued, Running };

  Workers(boost::asio::io_context &Context, WorkerOptions Options);

  auto submit(Work Item) -> void;
  auto cancel(const std::string &RequestId) -> CancelEffect;
  auto restartCold() -> void;
  auto setSlowFactor(double Factor) -> void { SlowFactor = Factor; }

  auto isCold() const -> bool;
  auto running() const -> std::size_t { return Running.size(); }
  auto queued() const -> std::size_t { return Queue.size(); }
  auto coldOverloads() const -> std::uint64_t { return ColdOverloads; }
  auto shedCount() const -> std::uint64_t { return ShedCount; }
  auto slots() const -> unsigned { return Options.Slots; }

private:
  struct Busy {
    Busy(boost::asio::io_context &Context, Work Item)
        : Timer(Context), Item(std::move(Item)) {}

    boost::asio::steady_timer Timer;
    Work Item;
  };

  auto warmth() const -> double;
  auto capacity() const -> std::size_t;
  auto begin(Work Item) -> void;
  auto finish(const std::shared_ptr<Busy> &Slot) -> void;
  auto startQueued() -> void;

  boost::asio::io_context &Context;
  WorkerOptions Options;
  std::chrono::steady_clock::time_point ColdSince;
  std::list<Work> Queue;
  std::list<std::shared_ptr<Busy>> Running;
  double SlowFactor = 1;
  std::uint64_t ColdOverloads = 0;
  std::uint64_t ShedCount = 0;
};

/// Reading of the machine's monotonic clock in microseconds.
auto steadyUs() -> std::int64_t;

} // namespace buckthornring::standin
