#pragma once

#include "Gateway/CallerSession.h"
#include "Gateway/RequestContext.h"
#include "Gateway/WaitQueue.h"
#include "buckthornring/Observe/Reasons.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace buckthornring {

/// One caller's request from its arrival to its answer.
///
/// Sends it to one target after another until one answers, as far as the
/// route's attempts, the retry allowance, the deadline and idempotence allow.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
public:
  using EndHandler = std::function<void()>;

  RequestFlow(RequestContext &Context, std::shared_ptr<CallerSession> Session,
              std::uint64_t Number, CallerRequest Request, EndHandler Ended);

  auto start() -> void;
  auto callerLeft() -> void;
  /// The instance stops soon: ends the request if it still runs.
  auto abandon() -> void;

private:
  /// One send to a target.
  struct Leg {
    TargetPtr Target;
    TargetPool::ConnectionPtr Connection;
    TimePoint SentAt = LongAgo; ///< LongAgo: not yet sent.
    double QueueAtSend = 0;
    bool Reused = false;
  };
  using LegPtr = std::shared_ptr<Leg>;

  // Before the first send.
  auto identify() -> bool;
  auto readDeadline(TimePoint Now) -> void;
  auto readKey() -> bool;

  auto askRate() -> void;
  auto admitted() -> void;

  // Placing.
  auto place() -> void;
  auto tryPlace() -> bool;
  auto selectTarget(TimePoint Now) -> TargetSelection;
  auto selectOwner(TimePoint Now) -> TargetSelection;
  auto waitForTarget(TimePoint Now) -> void;
  auto stopWaiting() -> void;
  auto holdLimit() const -> Duration;

  // Sending.
  auto send(const TargetPtr &Target) -> void;
  auto connected(const LegPtr &Sent, TargetPool::ConnectionPtr Ready,
                 bool Opened) -> void;
  auto wireFor(const Leg &Sent, TimePoint Now) const -> std::string;
  auto armHedge(const Leg &Sent) -> void;
  auto hedge() -> void;

  // Answers.
  auto answered(const LegPtr &Sent, ExchangeResult End, TargetResponse Answer)
      -> void;
  auto gotLoad(const Leg &Sent, const TargetResponse &Answer, TimePoint Now)
      -> void;
  auto rejected(const LegPtr &Sent, const TargetResponse &Answer) -> void;
  auto lost(const LegPtr &Sent, ExchangeResult End) -> void;
  auto forward(const Leg &Sent, TargetResponse Answer) -> void;
  auto sound(const TargetResponse &Answer) const -> bool;

  /// Targets that have the request or are about to get it.
  auto committed() const -> std::uint32_t;
  auto mayRepeat(TimePoint Now) -> bool;
  auto retryOr(RetryReason Why, RefusalReason Otherwise) -> void;
  auto endLeg(const LegPtr &Sent) -> void;
  auto dropLegs() -> void;
  auto timeout() -> void;
  auto refuse(RefusalReason Reason) -> void;
  auto finish(CallerAnswer Answer, EventClass Class, std::string_view Outcome,
              std::string_view Reason) -> void;
  auto log(EventClass Class, unsigned Status, std::string_view Outcome,
           std::string_view Reason) -> void;

  RequestContext &Context;
  std::shared_ptr<CallerSession> Session;
  std::uint64_t Number;
  CallerRequest Request;
  EndHandler Ended;
  std::shared_ptr<const ActiveConfig> Config; ///< Keeps Route alive.
  const RouteConfig *Route = nullptr;
  WorkspaceId Workspace;
  ServiceId Service;
  std::string RequestId;
  std::optional<std::uint32_t> Key; ///< For divided services.
  bool Idempotent = true;
  std::uint32_t Priority = 0;
  TimePoint CallerDeadline;
  TimePoint EndAt; ///< Latest time of the final answer.
  std::vector<LegPtr> Legs;
  std::vector<TargetId> Tried;
  TargetId LastTarget;
  std::uint32_t Sends = 0;   ///< Requests that reached a target.
  std::uint32_t MayHave = 0; ///< Sends that may have run.
  std::uint32_t Rejections = 0;
  NoTargetReason LastReason = NoTargetReason::None;
  WaitQueue::Ticket Ticket = 0;
  TimePoint WaitUntil = LongAgo; ///< Give-up time while waiting.
  TimePoint NotBefore = LongAgo; ///< Pause after a rejection.
  boost::asio::steady_timer EndTimer;
  boost::asio::steady_timer HedgeTimer;
  boost::asio::steady_timer WaitTimer;
  bool Done = false;
};

} // namespace buckthornring
