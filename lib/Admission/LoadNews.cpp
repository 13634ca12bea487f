#include "Admission/LoadNews.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Number of rounds in which each instance passes on a report. With two, a lost
/// message or a peer that knew the report already does not end its spread.
constexpr std::uint32_t SendsOfReport = 2;

/// Age from which a report is not passed on: requests last 50 to 500 ms, so it
/// says little about the queue of its target.
constexpr Duration MaxAge = std::chrono::milliseconds(400);

/// An entry takes about 25 bytes, and a message has to fit into one packet.
constexpr std::size_t MaxReportsInMessage = 50;

} // namespace

auto LoadNews::add(const TargetId &Target, const LoadReport &Load,
                   TimePoint ReportedAt) -> void {
  Entries[Target] = {Load, ReportedAt, SendsOfReport};
}

auto LoadNews::take(TimePoint Now) -> std::map<TargetId, AgedLoad> {
  std::erase_if(Entries, [Now](const auto &Item) {
    return Now - Item.second.ReportedAt > MaxAge;
  });
  std::map<TargetId, AgedLoad> Taken;
  auto Next = Entries.upper_bound(LastTaken);
  const std::size_t Count = std::min(Entries.size(), MaxReportsInMessage);
  while (Taken.size() < Count) {
    if (Next == Entries.end())
      Next = Entries.begin();
    Entry &Current = Next->second;
    LastTaken = Next->first;
    Taken[LastTaken] = {Current.Load, Now - Current.ReportedAt};
    Next = --Current.SendsLeft == 0 ? Entries.erase(Next) : std::next(Next);
  }
  return Taken;
}

} // namespace buckthornring
