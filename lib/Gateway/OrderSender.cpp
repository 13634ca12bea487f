#include "Gateway/OrderSender.h"

#include "IO/BootClock.h"
#include "IO/Endpoint.h"

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
  auto &Kept = Idle[Target.Address];
  while (!Kept.empty()) {
    Current->Connection = std::move(Kept.back());
    Kept.pop_back();
    if (bootNow() - Current->Connection->IdleSince < LongestIdle &&
        !Current->Connection->brokenWhileIdle())
      return connected(Current, true);
    Current->Connection->close();
  }
  const auto Endpoint = parseEndpoint(Target.Address);
  Current->Connection =
      std::make_shared<TargetConnection>(Context.get_executor());
  Current->Connection->connect(
      *Endpoint, ConnectLimit,
      [this, Current](bool Success) { connected(Current, Success); });
}

auto OrderSender::wireFor(const Order &Current) const -> std::string {
  const OrderRequest Request = Protocol.Encode(Current.Call);
  return "POST " + Request.Path +
         " HTTP/1.1\r\nHost: " + Current.Target.Address +
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
        if (End != ExchangeEnd::Answered)
          return finish(Current, RangeAnswer::Unanswered, "");
        const auto Handover = Answer.Fields.find(Protocol.HandoverField);
        if (Answer.Status == 200)
          return finish(Current, RangeAnswer::Accepted,
                        std::string(Handover.value_or("")));
        finish(Current,
               Answer.Status == 409 ? RangeAnswer::Refused
                                    : RangeAnswer::Unanswered,
               "");
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
  if (Answered && Current->Connection->reusable() &&
      *Generation == Current->Started) {
    Current->Connection->IdleSince = bootNow();
    Idle[Current->Target.Address].push_back(Current->Connection);
  } else {
    Current->Connection->close();
  }
  const auto Done = std::exchange(Current->Done, nullptr);
  if (*Generation == Current->Started)
    Done(Answer, Handover);
}

} // namespace buckthornring
