#pragma once

#include "Fleet/RangeAssigner.h"
#include "Fleet/TargetRecord.h"
#include "Gateway/Protocol.h"
#include "Gateway/TargetConnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace buckthornring {

/// Sends grants and releases of keys to targets, on connections that carry
/// nothing else.
///
/// A connection whose order got no answer in time is reset, so the order can
/// arrive only for a short time after that (RangeTimes::TransitLimit). The same
/// holds at RangeOrder::AuthorityEnd: a later leader counts on it.
///
/// Responses to orders carry no id, and a target may send a second copy of one
/// late. Only renewals reuse a connection: for them, such a copy tells nothing
/// new. All other orders are sent on a new one.
///
/// A lost connection may mean that the target has restarted. An order is meant
/// for one incarnation, so no new connection to that incarnation is opened for
/// a while (RestartDetectionPeriod). During this time, orders that find no
/// intact idle connection end as NotSent. After it, the target's record shows a
/// restart.
class OrderSender {
public:
  /// \p Handover: state that the target hands over in its answer to a release;
  /// empty unless the order was accepted.
  using Handler =
      std::function<void(RangeOrderOutcome, const std::string &Handover)>;

  /// Receives the head of each response to an order.
  using ResponseObserver = std::function<void(
      const TargetRecord &, unsigned Status, const HttpHeaders &)>;

  /// \p Observer may be empty.
  OrderSender(boost::asio::io_context &Context,
              const PlatformProtocol &Protocol,
              ResponseObserver Observer = nullptr);

  auto send(const TargetRecord &Target, const RangeOrder &Order, Handler OnDone)
      -> void;
  /// Resets the connections of all orders, so that none arrives after
  /// RangeTimes::TransitLimit, and closes the idle ones. Orders that are still
  /// connecting are not sent. Handlers of earlier orders are not called.
  auto clear() -> void;
  /// When the last order of this process to each target was answered, or its
  /// connection closed. Targets without orders for OrderEndLifetime are left
  /// out.
  auto lastOrderEnds() const -> const std::map<TargetId, TimePoint> & {
    return LastOrderEnds;
  }

private:
  struct PendingOrder;
  using ConnectionPtr = std::shared_ptr<TargetConnection>;

  auto onConnected(const std::shared_ptr<PendingOrder> &Pending, bool Success)
      -> void;
  auto onTimeout(const std::shared_ptr<PendingOrder> &Pending) -> void;
  /// Returns an intact idle connection to the incarnation, or null.
  auto takeIdle(const TargetRecord &Target) -> ConnectionPtr;
  /// Whether a connection to the incarnation has ended too recently for its
  /// record to show a restart.
  auto mayHaveRestarted(const TargetRecord &Target) const -> bool;
  auto closeIdle(const TargetRecord &Target) -> void;
  auto recordEnd(const PendingOrder &Pending) -> void;
  auto onConnectionEnded(const TargetRecord &Target) -> void;
  auto encodeRequest(const PendingOrder &Pending) const -> std::string;
  auto finish(const std::shared_ptr<PendingOrder> &Pending,
              RangeOrderOutcome Outcome, const std::string &Handover) -> void;

  boost::asio::io_context &Context;
  const PlatformProtocol &Protocol;
  ResponseObserver Observer;
  std::shared_ptr<BodyBudget> Budget;
  /// Orders that have not ended.
  std::set<std::shared_ptr<PendingOrder>> PendingOrders;
  std::map<TargetId, TimePoint> LastOrderEnds;
  /// Idle connections by incarnationKey().
  std::unordered_map<std::string, std::vector<ConnectionPtr>> IdleConnections;
  /// When a connection to the incarnation was last found lost or broken, by
  /// incarnationKey().
  std::unordered_map<std::string, TimePoint> ConnectionEndedAt;
  /// Number of calls of clear(). An order that started under another number is
  /// not sent any more, its handler is not called and its connection is not
  /// reused.
  std::shared_ptr<int> Generation = std::make_shared<int>(0);
};

} // namespace buckthornring
