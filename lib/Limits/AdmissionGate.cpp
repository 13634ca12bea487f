#include "buckthornring/Limits/AdmissionGate.h"

#include <algorithm>

namespace buckthornring {

auto AdmissionGate::reportWaiting() -> void {
  Share.setWaiting(static_cast<std::uint32_t>(Queue.size()));
}

auto AdmissionGate::offer(Ticket Request, TimePoint Deadline, TimePoint Now)
    -> Answer {
  Share.recordArrival();
  // Requests that already wait get new tokens first.
  if (Queue.empty() && Share.tryTake(Now))
    return Answer::Admit;
  if (Queue.size() >= Settings.QueueLimit || Deadline <= Now)
    return Answer::Refuse;
  Queue.push_back({Request, std::min(Deadline, Now + Settings.MaxWait)});
  reportWaiting();
  return Answer::Wait;
}

auto AdmissionGate::advance(TimePoint Now) -> Progress {
  Progress Result;
  std::erase_if(Queue, [&](const Entry &Each) {
    if (Now < Each.Until)
      return false;
    Result.Refused.push_back(Each.Request);
    return true;
  });
  while (!Queue.empty() && Share.tryTake(Now)) {
    Result.Admitted.push_back(Queue.front().Request);
    Queue.pop_front();
  }
  reportWaiting();
  return Result;
}

auto AdmissionGate::remove(Ticket Request) -> void {
  std::erase_if(Queue,
                [&](const Entry &Each) { return Each.Request == Request; });
  reportWaiting();
}

auto AdmissionGate::nextChange(TimePoint Now) -> std::optional<TimePoint> {
  if (Queue.empty())
    return std::nullopt;
  TimePoint Next = Queue.front().Until;
  for (const Entry &Each : Queue)
    Next = std::min(Next, Each.Until);
  if (const auto Token = Share.timeUntilToken(Now))
    Next = std::min(Next, Now + *Token);
  return Next;
}

} // namespace buckthornring
