#include "buckthornring/Observe/Counters.h"

#include "buckthornring/Common/Invariant.h"

namespace buckthornring {

namespace {

template <class Cells, class Sums>
auto addAll(const Cells &From, Sums &To) -> void {
  for (std::size_t Index = 0; Index < To.size(); ++Index)
    To[Index] += From[Index].load(std::memory_order_relaxed);
}

} // namespace

auto statusClass(unsigned Status) -> StatusClass {
  if (Status < 100 || Status > 599)
    return StatusClass::Other;
  return static_cast<StatusClass>(Status / 100 - 1);
}

Counters::Counters(std::size_t Stripes)
    : Size(Stripes), Stripes(std::make_unique<Stripe[]>(Stripes)) {
  invariant(Size > 0, "counters have at least one stripe");
}

auto Counters::stripe(std::size_t Index) -> Stripe & {
  invariant(Index < Size, "the counter stripe exists");
  return Stripes[Index];
}

auto Counters::totals() const -> CounterTotals {
  CounterTotals Out;
  for (std::size_t Index = 0; Index < Size; ++Index) {
    const auto &From = Stripes[Index];
    addAll(From.Refusals, Out.Refusals);
    addAll(From.Retries, Out.Retries);
    addAll(From.Outcomes, Out.Outcomes);
    addAll(From.Statuses, Out.Statuses);
  }
  return Out;
}

} // namespace buckthornring
