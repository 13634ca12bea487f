#include "Gateway/OrderSender.h"

#include "IO/BootClock.h"
#include "IO/Endpoint.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace buckthornring {

namespace {

constexpr Duration ConnectLimit = std::chrono::milliseconds(250);

/// A grant is answered at once.
constexpr Duration GrantLimit = std::chrono::milliseconds(500);

/// A release is answered when the work on the keys has ended, which may take
/// as long as the longest request.
constexpr Duration ReleaseLimit = std::chrono::seconds(5);

/// Idleness after which a kept connection is not used: targets close idle
/// connections.
constexpr Duration LongestIdle = std::chrono::seconds(4);

/// Time after which a target's record tells of a restart: its heartbeat
/// interval, the store's answer and the watch.
constexpr Duration RestartNotice = std::chrono::milliseconds(1100);

auto lifeOf(const TargetRecord &Target) -> std::string {
  return Target.Id.str() + "@" + std::to_string(Target.StartedAtMs);
}

auto limitOf(const RangeCall &Call) -> Duration {
  return Call.What == RangeCall::Kind::Grant ? GrantLimit : ReleaseLimit;
}

} // namespace

struct OrderSender::Order {
  explicit Order(boost::asio::io_context &Context) : Timer(Context) {}

  TargetRecord Target;
  RangeCall Call;
  Handler Done;
  std::shared_ptr<TargetConnection> Connection;
  boost::asio::steady_timer Timer;
  std::shared_ptr<int> Generation;
  int Started = 0;
  bool Sent = false;
};

auto OrderSender::clear() -> void {
  ++*Generation;
  for (auto &[Address, Kept] : Idle)
    for (const ConnectionPtr &Connection : Kept)
      Connection->close();
  Idle.clear();
}

auto OrderSender::send(const TargetRecord &Target, const RangeCall &Call,
                       Handler Done) -> void {
  auto Current = std::make_shared<Order>(Context);
  Current->Target = Target;
  Current->Call = Call;
  Current->Done = std::move(Done);
  Current->Generation = Generation;
  Current->Started = *Generation;
  Current->Timer.expires_after(ConnectLimit + limitOf(Call));
  Current->Timer.async_wait(
      [this, Current](const boost::system::error_code &Cancelled) {
        if (!Cancelled)
          finish(Current,
                 Current->Sent ? RangeAnswer::Unanswered : RangeAnswer::NotSent,
                 "");
      });
  auto &Kept = Idle[lifeOf(Target)];
  while (!Kept.empty()) {
    Current->Connection = std::move(Kept.back());
    Kept.pop_back();
    const bool Recent =
        bootNow() - Current->Connection->IdleSince < LongestIdle;
    if (Recent && !Current->Connection->brokenWhileIdle())
      return connected(Current, true);
    if (Recent)
      ended(Target);
    std::exchange(Current->Connection, nullptr)->close();
  }
  const auto Ended = EndedAt.find(lifeOf(Target));
  if (Ended != EndedAt.end() && bootNow() - Ended->second < RestartNotice) {
    boost::asio::post(Context, [this, Current] {
      finish(Current, RangeAnswer::NotSent, "");
    });
    return;
  }
  const auto Endpoint = parseEndpoint(Target.Address);
  Current->Connection =
      std::make_shared<TargetConnection>(Context.get_executor());
  Current->Connection->connect(
      *Endpoint, ConnectLimit,
      [this, Current](bool Success) { connected(Current, Success); });
}

auto OrderSender::ended(const TargetRecord &Target) -> void {
  EndedAt[lifeOf(Target)] = bootNow();
  std::erase_if(EndedAt, [](const auto &Entry) {
    return bootNow() - Entry.second > RestartNotice;
  });
}

auto OrderSender::wireFor(const Order &Current) const -> std::string {
  const OrderRequest Request = Protocol.Orders.Encode(Current.Call);
  return "POST " + Request.Path +
         " HTTP/1.1\r\nHost: " + Current.Target.Address + "\r\n" +
         Protocol.Headers.ExpectedTarget + ": " + Current.Target.Id.str() +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Request.Body.size()) + "\r\n\r\n" + Request.Body;
}

auto OrderSender::connected(const std::shared_ptr<Order> &Current, bool Success)
    -> void {
  if (*Generation != Current->Started) {
    Current->Connection->close();
    return;
  }
  if (!Success)
    return finish(Current, RangeAnswer::NotSent, "");
  Current->Sent = true;
  Current->Connection->exchange(
      wireFor(*Current), "", "", false,
      [this, Current](ExchangeEnd End, const TargetAnswer &Answer) {
        if (End == ExchangeEnd::Lost)
          ended(Current->Target);
        if (End != ExchangeEnd::Answered)
          return finish(Current, RangeAnswer::Unanswered, "");
        const auto Handover = Answer.Fields.find(Protocol.Orders.HandoverField);
        if (Answer.Status == 200)
          return finish(Current, RangeAnswer::Accepted,
                        std::string(Handover.value_or("")));
        // 421: another target has the address.
        const bool Refused = Answer.Status == 409 || Answer.Status == 421;
        finish(Current,
               Refused ? RangeAnswer::Refused : RangeAnswer::Unanswered, "");
      });
}

auto OrderSender::finish(const std::shared_ptr<Order> &Current,
                         RangeAnswer Answer, const std::string &Handover)
    -> void {
  if (!Current->Done)
    return;
  Current->Timer.cancel();
  const bool Answered =
      Answer == RangeAnswer::Accepted || Answer == RangeAnswer::Refused;
  if (!Current->Connection) {
    // Not sent for fear of a restart.
  } else if (Answered && Current->Connection->reusable() &&
             *Generation == Current->Started) {
    Current->Connection->IdleSince = bootNow();
    Idle[lifeOf(Current->Target)].push_back(Current->Connection);
  } else {
    Current->Connection->close();
  }
  const auto Done = std::exchange(Current->Done, nullptr);
  if (*Generation == Current->Started)
    Done(Answer, Handover);
}

} // namespace buckthornring
