#include "buckthornring/Attempt/RetryBudget.h"

#include <algorithm>

namespace buckthornring {

namespace {

auto secondOf(TimePoint Now) -> std::int64_t {
  return std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch())
      .count();
}

} // namespace

auto RetryBudget::bucketAt(TimePoint Now) -> Bucket & {
  const std::int64_t Second = secondOf(Now);
  const auto Count = static_cast<std::int64_t>(Buckets);
  const std::int64_t Index = ((Second % Count) + Count) % Count;
  Bucket &Entry = Window.at(static_cast<std::size_t>(Index));
  if (Entry.Second != Second)
    Entry = Bucket{Second, 0, 0};
  return Entry;
}

auto RetryBudget::recordRequest(TimePoint Now) -> void {
  ++bucketAt(Now).Requests;
}

auto RetryBudget::tryTake(TimePoint Now) -> bool {
  Bucket &Current = bucketAt(Now);
  std::uint64_t Requests = 0;
  std::uint64_t Taken = 0;
  const auto Oldest = Current.Second - static_cast<std::int64_t>(Buckets);
  for (const Bucket &Entry : Window) {
    if (Entry.Second <= Oldest)
      continue;
    Requests += Entry.Requests;
    Taken += Entry.Taken;
  }
  const double Allowed =
      std::max(Settings.Ratio * static_cast<double>(Requests),
               Settings.MinimumPerSecond * static_cast<double>(Buckets));
  if (static_cast<double>(Taken + 1) > Allowed)
    return false;
  ++Current.Taken;
  return true;
}

} // namespace buckthornring
