#pragma once

#include "Fleet/RangeAssigner.h"
#include "Fleet/TargetRecord.h"
#include "Gateway/Protocol.h"
#include "Gateway/TargetConnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace buckthornring {

/// Sends grants and releases of keys to targets, on connections that carry
/// nothing else.
///
/// A connection whose order got no answer in time is reset, which bounds the
/// time at which the order can still arrive. A connection that the target
/// closed indicates that the target has restarted. Orders are meant for the
/// incarnation before the restart, so the target gets none until its record
/// would show the restart.
class OrderSender {
public:
  using Handler =
      std::function<void(RangeOrderOutcome, const std::string &Handover)>;

  OrderSender(boost::asio::io_context &Context,
              const PlatformProtocol &Protocol)
      : Context(Context), Protocol(Protocol) {}

  auto send(const TargetRecord &Target, const RangeOrder &Call, Handler OnDone)
      -> void;
  /// Closes all connections. Handlers of pending orders are not called.
  auto clear() -> void;

private:
  struct PendingOrder;
  using ConnectionPtr = std::shared_ptr<TargetConnection>;

  auto onConnected(const std::shared_ptr<PendingOrder> &Pending, bool Success)
      -> void;
  auto onConnectionEnded(const TargetRecord &Target) -> void;
  auto encodeRequest(const PendingOrder &Pending) const -> std::string;
  auto finish(const std::shared_ptr<PendingOrder> &Pending,
              RangeOrderOutcome Answer, const std::string &Handover) -> void;

  boost::asio::io_context &Context;
  const PlatformProtocol &Protocol;
  /// Idle connections, and the time at which a target closed one, by
  /// incarnation of the target.
  std::unordered_map<std::string, std::vector<ConnectionPtr>> IdleConnections;
  std::unordered_map<std::string, TimePoint> ConnectionEndedAt;
  /// Incremented by clear(), so that earlier orders are recognized.
  std::shared_ptr<int> Generation = std::make_shared<int>(0);
};

} // namespace buckthornring
