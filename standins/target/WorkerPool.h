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
  Duration ServiceTime = std::chrono::milliseconds(2);
  /// Time from a start to full capacity.
  Duration WarmUpPeriod = Duration::zero();
};

/// A request that runs in a slot.
struct Work {
  std::string RequestId;
  std::int64_t DeadlineUs = 0; ///< Reading of steadyUs(), 0: none.
  /// Zero: WorkerOptions::ServiceTime.
  Duration ServiceTime = Duration::zero();
  /// Checks that the request may still run and records its start. The request
  /// is dropped when this returns false.
  std::function<bool()> OnBegin;
  std::function<void()> OnDone;
  /// Called instead of OnBegin.
  std::function<void()> OnShed;
  /// Called after OnBegin, instead of OnDone.
  std::function<void()> OnCancelled;
};

/// Slots that run requests, with a bounded queue. During the warm-up period,
/// capacity grows from one slot and each request takes up to four times as
/// long. A request above the capacity of a cold server is shed and restarts the
/// warm-up period, since the modelled servers collapse under full load after a
/// start.
class WorkerPool {
public:
  enum class CancelEffect { Unknown, Queued, Running };

  WorkerPool(boost::asio::io_context &Context, WorkerOptions Options);

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
  struct RunningItem {
    RunningItem(boost::asio::io_context &Context, Work Item)
        : Timer(Context), Item(std::move(Item)) {}

    boost::asio::steady_timer Timer;
    Work Item;
  };

  auto warmUpFraction() const -> double;
  auto capacity() const -> std::size_t;
  auto begin(Work Item) -> void;
  auto finish(const std::shared_ptr<RunningItem> &Slot) -> void;
  auto startQueued() -> void;

  boost::asio::io_context &Context;
  WorkerOptions Options;
  std::chrono::steady_clock::time_point ColdSince;
  std::list<Work> Queue;
  std::list<std::shared_ptr<RunningItem>> Running;
  double SlowFactor = 1;
  std::uint64_t ColdOverloads = 0;
  std::uint64_t ShedCount = 0;
};

/// Reading of the machine's monotonic clock in microseconds.
auto steadyUs() -> std::int64_t;

} // namespace buckthornring::standin
