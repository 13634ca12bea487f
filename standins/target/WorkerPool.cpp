#include "WorkerPool.h"

#include <algorithm>

namespace buckthornring::standin {

auto steadyUs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

WorkerPool::WorkerPool(boost::asio::io_context &Context, WorkerOptions Options)
    : Context(Context), Options(Options),
      ColdSince(std::chrono::steady_clock::now()) {}

auto WorkerPool::warmUpFraction() const -> double {
  if (Options.WarmUpPeriod <= Duration::zero())
    return 1;
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - ColdSince;
  const std::chrono::duration<double> Period = Options.WarmUpPeriod;
  return std::min(1.0, Elapsed / Period);
}

auto WorkerPool::isCold() const -> bool { return warmUpFraction() < 1; }

auto WorkerPool::capacity() const -> std::size_t {
  return 1 + static_cast<std::size_t>((Options.Slots - 1) * warmUpFraction());
}

auto WorkerPool::submit(Work Item) -> void {
  if (Running.size() < capacity() && Queue.empty()) {
    begin(std::move(Item));
    return;
  }
  if (isCold()) {
    ++ColdOverloads;
    ColdSince = std::chrono::steady_clock::now();
  }
  if (isCold() || Queue.size() >= Options.QueueLimit) {
    ++ShedCount;
    Item.OnShed();
    return;
  }
  Queue.push_back(std::move(Item));
}

auto WorkerPool::begin(Work Item) -> void {
  if (Item.DeadlineUs != 0 && steadyUs() >= Item.DeadlineUs) {
    ++ShedCount;
    Item.OnShed();
    return;
  }
  if (!Item.OnBegin())
    return;
  const auto BaseTime = Item.ServiceTime > Duration::zero()
                            ? Item.ServiceTime
                            : Options.ServiceTime;
  const double Slowdown = SlowFactor * (1 + 3 * (1 - warmUpFraction()));
  auto Slot = std::make_shared<RunningItem>(Context, std::move(Item));
  Running.push_back(Slot);
  Slot->Timer.expires_after(
      std::chrono::duration_cast<std::chrono::microseconds>(BaseTime *
                                                            Slowdown));
  Slot->Timer.async_wait([this, Slot](auto Cancelled) {
    if (!Cancelled)
      finish(Slot);
  });
}

auto WorkerPool::finish(const std::shared_ptr<RunningItem> &Slot) -> void {
  Running.remove(Slot);
  Slot->Item.OnDone();
  startQueued();
}

auto WorkerPool::startQueued() -> void {
  while (!Queue.empty() && Running.size() < capacity()) {
    auto Next = std::move(Queue.front());
    Queue.pop_front();
    begin(std::move(Next));
  }
}

auto WorkerPool::cancel(const std::string &RequestId) -> CancelEffect {
  const auto QueuedItem =
      std::find_if(Queue.begin(), Queue.end(), [&](const Work &Item) {
        return Item.RequestId == RequestId;
      });
  if (QueuedItem != Queue.end()) {
    auto Item = std::move(*QueuedItem);
    Queue.erase(QueuedItem);
    Item.OnShed();
    return CancelEffect::Queued;
  }
  const auto Found =
      std::find_if(Running.begin(), Running.end(), [&](const auto &Slot) {
        return Slot->Item.RequestId == RequestId;
      });
  if (Found == Running.end())
    return CancelEffect::Unknown;
  const auto Slot = *Found;
  Running.erase(Found);
  Slot->Timer.cancel();
  Slot->Item.OnCancelled();
  startQueued();
  return CancelEffect::Running;
}

auto WorkerPool::restartCold() -> void {
  ColdSince = std::chrono::steady_clock::now();
}

} // namespace buckthornring::standin
