#include "WorkerPool.h"

#include <algorithm>

namespace buckthornring::standin {

auto steadyUs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Workers::Workers(boost::asio::io_context &Context, WorkerOptions Options)
    : Context(Context), Options(Options),
      ColdSince(std::chrono::steady_clock::now()) {}

auto Workers::warmth() const -> double {
  if (Options.ColdTime <= Duration::zero())
    return 1;
  const std::chrono::duration<double> Passed =
      std::chrono::steady_clock::now() - ColdSince;
  const std::chrono::duration<double> Whole = Options.ColdTime;
  return std::min(1.0, Passed / Whole);
}

auto Workers::isCold() const -> bool { return warmth() < 1; }

auto Workers::capacity() const -> std::size_t {
  return 1 + static_cast<std::size_t>((Options.Slots - 1) * warmth());
}

auto Workers::submit(Work Item) -> void {
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
    Item.Shed();
    return;
  }
  Queue.push_back(std::move(Item));
}

auto Workers::begin(Work Item) -> void {
  if (Item.DeadlineUs != 0 && steadyUs() >= Item.DeadlineUs) {
    ++ShedCount;
    Item.Shed();
    return;
  }
  if (!Item.Begin())
    return;
  const auto Usual =
      Item.Service > Duration::zero() ? Item.Service : Options.Service;
  const double Slowness = SlowFactor * (1 + 3 * (1 - warmth()));
  auto Slot = std::make_shared<Busy>(Context, std::move(Item));
  Running.push_back(Slot);
  Slot->Timer.expires_after(
      std::chrono::duration_cast<std::chrono::microseconds>(Usual * Slowness));
  Slot->Timer.async_wait([this, Slot](auto Cancelled) {
    if (!Cancelled)
      finish(Slot);
  });
}

auto Workers::finish(const std::shared_ptr<Busy> &Slot) -> void {
  Running.remove(Slot);
  Slot->Item.Done();
  startQueued();
}

auto Workers::startQueued() -> void {
  while (!Queue.empty() && Running.size() < capacity()) {
    auto Next = std::move(Queue.front());
    Queue.pop_front();
    begin(std::move(Next));
  }
}

auto Workers::cancel(const std::string &RequestId) -> CancelEffect {
  const auto Waiting =
      std::find_if(Queue.begin(), Queue.end(), [&](const Work &Item) {
        return Item.RequestId == RequestId;
      });
  if (Waiting != Queue.end()) {
    auto Item = std::move(*Waiting);
    Queue.erase(Waiting);
    Item.Shed();
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
  Slot->Item.Cancelled();
  startQueued();
  return CancelEffect::Running;
}

auto Workers::restartCold() -> void {
  ColdSince = std::chrono::steady_clock::now();
}

} // namespace buckthornring::standin
