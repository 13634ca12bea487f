#include "Gateway/OrderSender.h"

#include "IO/BootClock.h"
#include "IO/Endpoint.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace buckthornring {

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);

/// Time for the answer to a grant, added to ConnectTimeout; targets answer a
/// grant at once.
constexpr Duration GrantTimeout = std::chrono::milliseconds(500);

/// The same for a release. Targets answer it when the work on the keys has
/// ended. After this time the order ends as Unanswered and may be repeated.
constexpr Duration ReleaseTimeout = std::chrono::seconds(5);

/// Idle time after which a connection is not reused, since targets close idle
/// connections.
constexpr Duration MaxIdleTime = std::chrono::seconds(4);

/// Time after which a target's record shows a restart: the sum of the target's
/// heartbeat interval, the store's response time and the delay of the watch.
constexpr Duration RestartDetectionPeriod = std::chrono::milliseconds(1100);

/// Time for which the end of the last order to a target is kept: longer than a
/// grant and the time until a lost leader is replaced.
constexpr Duration OrderEndLifetime = std::chrono::seconds(20);

/// Memory for the bodies of all responses to orders, which are short.
constexpr std::size_t MaxReplyBytes = 1024UL * 1024;

auto incarnationKey(const TargetRecord &Target) -> std::string {
  return Target.Id.str() + "@" + std::to_string(Target.StartedAtMs);
}

auto replyTimeout(const RangeOrder &Order) -> Duration {
  return Order.Type == RangeOrder::Kind::Grant ? GrantTimeout : ReleaseTimeout;
}

/// Outcome of an order that was answered with another status than 200.
auto refusalOutcome(unsigned Status) -> RangeOrderOutcome {
  switch (Status) {
  case 409:
    return RangeOrderOutcome::Refused;
  case 421:
    return RangeOrderOutcome::Misdirected;
  default:
    return RangeOrderOutcome::Unanswered;
  }
}

} // namespace

struct OrderSender::PendingOrder {
  explicit PendingOrder(boost::asio::io_context &Context) : Timer(Context) {}

  TargetRecord Target;
  RangeOrder Order;
  Handler OnDone;
  std::shared_ptr<TargetConnection> Connection;
  boost::asio::steady_timer Timer;
  std::shared_ptr<int> Generation;
  int StartGeneration = 0;
  bool Sent = false;
};

OrderSender::OrderSender(boost::asio::io_context &Context,
                         const PlatformProtocol &Protocol,
                         ResponseObserver Observer)
    : Context(Context), Protocol(Protocol), Observer(std::move(Observer)),
      Budget(std::make_shared<BodyBudget>(MaxReplyBytes)) {}

auto OrderSender::clear() -> void {
  ++*Generation;
  for (const auto &Pending : std::exchange(PendingOrders, {})) {
    Pending->OnDone = nullptr;
    Pending->Timer.cancel();
    if (Pending->Connection)
      Pending->Connection->close();
    recordEnd(*Pending);
  }
  for (auto &[Incarnation, Connections] : IdleConnections)
    for (const ConnectionPtr &Connection : Connections)
      Connection->close();
  IdleConnections.clear();
}

auto OrderSender::send(const TargetRecord &Target, const RangeOrder &Order,
                       Handler OnDone) -> void {
  auto Pending = std::make_shared<PendingOrder>(Context);
  Pending->Target = Target;
  Pending->Order = Order;
  Pending->OnDone = std::move(OnDone);
  Pending->Generation = Generation;
  Pending->StartGeneration = *Generation;
  PendingOrders.insert(Pending);
  Pending->Timer.expires_after(
      std::clamp(Order.AuthorityEnd - bootNow(), Duration(0),
                 ConnectTimeout + replyTimeout(Order)));
  Pending->Timer.async_wait(
      [this, Pending](const boost::system::error_code &Cancelled) {
        if (!Cancelled)
          onTimeout(Pending);
      });
  if (ConnectionPtr Idle = takeIdle(Target)) {
    if (Order.Renewal) {
      Pending->Connection = std::move(Idle);
      return onConnected(Pending, true);
    }
    // An intact connection shows that the target has not restarted.
    IdleConnections[incarnationKey(Target)].push_back(std::move(Idle));
  } else if (mayHaveRestarted(Target)) {
    boost::asio::post(Context, [this, Pending] {
      finish(Pending, RangeOrderOutcome::NotSent, "");
    });
    return;
  }
  const auto Endpoint = parseEndpoint(Target.Address);
  Pending->Connection =
      std::make_shared<TargetConnection>(Context.get_executor(), Budget);
  // An order that got no response must not arrive after its connection has
  // ended. Only a reset ensures this, so its own timer ends the connection.
  Pending->Connection->connect(
      *Endpoint, ConnectTimeout,
      {.AwaitReset = false, .DetectSilence = false, .ResetAtProcessEnd = true},
      [this, Pending](bool Success) { onConnected(Pending, Success); });
}

auto OrderSender::onTimeout(const std::shared_ptr<PendingOrder> &Pending)
    -> void {
  // A target that does not respond on one connection probably does not on the
  // others; orders sent there would only be held up.
  if (Pending->Sent && Pending->OnDone)
    closeIdle(Pending->Target);
  finish(Pending,
         Pending->Sent ? RangeOrderOutcome::Unanswered
                       : RangeOrderOutcome::NotSent,
         "");
}

auto OrderSender::takeIdle(const TargetRecord &Target) -> ConnectionPtr {
  auto &Connections = IdleConnections[incarnationKey(Target)];
  while (!Connections.empty()) {
    ConnectionPtr Candidate = std::move(Connections.back());
    Connections.pop_back();
    const bool Recent = bootNow() - Candidate->IdleSince < MaxIdleTime;
    if (Recent && !Candidate->brokenWhileIdle())
      return Candidate;
    if (Recent)
      onConnectionEnded(Target);
    Candidate->close();
  }
  return nullptr;
}

auto OrderSender::mayHaveRestarted(const TargetRecord &Target) const -> bool {
  const auto LastEnd = ConnectionEndedAt.find(incarnationKey(Target));
  return LastEnd != ConnectionEndedAt.end() &&
         bootNow() - LastEnd->second < RestartDetectionPeriod;
}

auto OrderSender::closeIdle(const TargetRecord &Target) -> void {
  const auto Connections = IdleConnections.extract(incarnationKey(Target));
  if (Connections.empty())
    return;
  for (const ConnectionPtr &Connection : Connections.mapped())
    Connection->close();
}

auto OrderSender::recordEnd(const PendingOrder &Pending) -> void {
  if (!Pending.Sent)
    return;
  const TimePoint Now = bootNow();
  LastOrderEnds[Pending.Target.Id] = Now;
  std::erase_if(LastOrderEnds, [Now](const auto &Entry) {
    return Now - Entry.second > OrderEndLifetime;
  });
}

auto OrderSender::onConnectionEnded(const TargetRecord &Target) -> void {
  ConnectionEndedAt[incarnationKey(Target)] = bootNow();
  std::erase_if(ConnectionEndedAt, [](const auto &Entry) {
    return bootNow() - Entry.second > RestartDetectionPeriod;
  });
}

auto OrderSender::encodeRequest(const PendingOrder &Pending) const
    -> std::string {
  const OrderRequest Request = Protocol.Orders.Encode(Pending.Order);
  return "POST " + Request.Path +
         " HTTP/1.1\r\nHost: " + Pending.Target.Address + "\r\n" +
         Protocol.Headers.ExpectedTarget + ": " + Pending.Target.Id.str() +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Request.Body.size()) + "\r\n\r\n" + Request.Body;
}

auto OrderSender::onConnected(const std::shared_ptr<PendingOrder> &Pending,
                              bool Success) -> void {
  if (*Generation != Pending->StartGeneration) {
    Pending->Connection->close();
    return;
  }
  // An instance that is short of processor time may get here late.
  if (!Success || bootNow() > Pending->Order.AuthorityEnd)
    return finish(Pending, RangeOrderOutcome::NotSent, "");
  Pending->Sent = true;
  Pending->Connection->exchange(
      encodeRequest(*Pending), "", "", false,
      [this, Pending](ExchangeResult End, const TargetResponse &Response) {
        if (End == ExchangeResult::Lost)
          onConnectionEnded(Pending->Target);
        if (End != ExchangeResult::Answered)
          return finish(Pending, RangeOrderOutcome::Unanswered, "");
        if (Observer)
          Observer(Pending->Target, Response.Status, Response.Fields);
        if (Response.Status == 200)
          return finish(Pending, RangeOrderOutcome::Accepted,
                        Protocol.Orders.ReadHandover(Response.Fields));
        finish(Pending, refusalOutcome(Response.Status), "");
      });
}

// Responses to orders have no id. After a refusal the connection is closed,
// since a second copy could arrive as the response to the next order.
auto OrderSender::finish(const std::shared_ptr<PendingOrder> &Pending,
                         RangeOrderOutcome Outcome, const std::string &Handover)
    -> void {
  if (!Pending->OnDone)
    return;
  PendingOrders.erase(Pending);
  recordEnd(*Pending);
  Pending->Timer.cancel();
  if (!Pending->Connection) {
    // The order was not sent because the target may have restarted.
  } else if (Outcome == RangeOrderOutcome::Accepted &&
             Pending->Connection->reusable() &&
             *Generation == Pending->StartGeneration) {
    Pending->Connection->IdleSince = bootNow();
    IdleConnections[incarnationKey(Pending->Target)].push_back(
        Pending->Connection);
  } else {
    Pending->Connection->close();
  }
  const auto Callback = std::exchange(Pending->OnDone, nullptr);
  if (*Generation == Pending->StartGeneration)
    Callback(Outcome, Handover);
}

} // namespace buckthornring
