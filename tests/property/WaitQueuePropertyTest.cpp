#include "Gateway/WaitQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace buckthornring;

namespace {

const ServiceId Service("reads");

/// Sends waiting requests while there is room, and records their order.
struct QueueModel {
  struct Request {
    std::uint32_t Priority;
    std::size_t Number;
  };

  auto add(std::uint32_t Priority) -> void {
    const Request Added{Priority, Count++};
    Waiting.push_back(Added);
    Queue.add(Service, Priority, [this, Added] { return send(Added); });
  }

  auto send(const Request &Tried) -> bool {
    if (Room == 0)
      return false;
    --Room;
    std::erase_if(Waiting, [&](const Request &Other) {
      return Other.Number == Tried.Number;
    });
    Sent.push_back(Tried);
    const bool Urgent =
        std::none_of(Waiting.begin(), Waiting.end(), [&](const Request &Other) {
          return Other.Priority < Tried.Priority;
        });
    // Every earlier request of the same priority has been sent.
    for (const Request &Other : Waiting)
      RC_ASSERT(Other.Priority != Tried.Priority ||
                Other.Number > Tried.Number);
    // A less urgent one goes first only after MaxPassed that passed others.
    RC_ASSERT(Urgent || SincePassed >= WaitQueue::MaxPassed);
    const bool Passes =
        std::any_of(Waiting.begin(), Waiting.end(), [&](const Request &Other) {
          return Other.Priority > Tried.Priority;
        });
    SincePassed = !Urgent ? 0 : SincePassed + (Passes ? 1 : 0);
    Queue.sent(Service, Tried.Priority);
    return true;
  }

  WaitQueue Queue;
  std::vector<Request> Waiting;
  std::vector<Request> Sent;
  std::size_t Count = 0;
  std::size_t Room = 0;
  std::size_t SincePassed = 0;
};

} // namespace

// Guards against less urgent requests that go first, and against an order
// within a priority other than that of arrival.
RC_GTEST_PROP(WaitQueuePropertyTest, UrgentRequestsGoFirst, ()) {
  QueueModel Model;
  const auto Steps = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 6));
  for (const std::uint32_t Step : Steps) {
    if (Step < 4)
      Model.add(Step);
    Model.Room = Step < 4 ? 0 : Step - 3;
    Model.Queue.dispatch();
  }
}

// Guards against requests that wait without end behind urgent ones, which
// arrive as fast as they are sent.
RC_GTEST_PROP(WaitQueuePropertyTest, NoPriorityIsStarved, ()) {
  QueueModel Model;
  const auto Priority = *rc::gen::inRange<std::uint32_t>(1, 5);
  const auto Urgent = *rc::gen::inRange<std::size_t>(1, 20);
  for (std::size_t Index = 0; Index < Urgent; ++Index)
    Model.add(0);
  Model.add(Priority);
  const std::size_t Number = Model.Count - 1;
  // The urgent ones that arrived before are sent first in the worst case, each
  // by a turn of its own.
  const std::size_t Limit = (Urgent + 1) * (WaitQueue::MaxPassed + 1);
  for (std::size_t Step = 0; Step < Limit; ++Step) {
    Model.add(0);
    Model.Room = 1;
    Model.Queue.dispatch();
  }
  RC_ASSERT(std::any_of(
      Model.Sent.begin(), Model.Sent.end(),
      [&](const auto &Request) { return Request.Number == Number; }));
}
