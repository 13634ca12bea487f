#pragma once

#include "Fleet/RangeKeeper.h"
#include "Fleet/TargetRecord.h"
#include "Gateway/Protocol.h"
#include "Gateway/TargetConnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace buckthornring {

/// Sends orders to targets, on connections of their own.
///
/// A connection whose order got no answer in time is reset, which bounds the
/// time at which the order can still arrive. A connection that the target ended
/// is a sign that it has restarted: it gets no orders until its record would
/// tell so, since they are meant for its earlier life.
class OrderSender {
public:
  using Handler = std::function<void(RangeAnswer, const std::string &Handover)>;

  OrderSender(boost::asio::io_context &Context,
              const PlatformProtocol &Protocol)
      : Context(Context), Protocol(Protocol) {}

  auto send(const TargetRecord &Target, const RangeCall &Call, Handler Done)
      -> void;
  /// Closes all connections; orders under way end without a call.
  auto clear() -> void;

private:
  struct Order;
  using ConnectionPtr = std::shared_ptr<TargetConnection>;

  auto connected(const std::shared_ptr<Order> &Current, bool Success) -> void;
  auto ended(const TargetRecord &Target) -> void;
  auto wireFor(const Order &Current) const -> std::string;
  auto finish(const std::shared_ptr<Order> &Current, RangeAnswer Answer,
              const std::string &Handover) -> void;

  boost::asio::io_context &Context;
  const PlatformProtocol &Protocol;
  /// Kept connections and times at which a target ended one, by target life.
  std::unordered_map<std::string, std::vector<ConnectionPtr>> Idle;
  std::unordered_map<std::string, TimePoint> EndedAt;
  std::shared_ptr<int> Generation = std::make_shared<int>(0);
};

} // namespace buckthornring
