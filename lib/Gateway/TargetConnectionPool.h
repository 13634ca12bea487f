#pragma once

#include "Fleet/TargetRecord.h"
#include "Gateway/TargetConnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Kept connections to the targets, by target life: an address may be given to
/// another target.
class TargetPool {
public:
  using ConnectionPtr = std::shared_ptr<TargetConnection>;
  /// Receives a connection, or null, and whether it was opened for this.
  using Handler = std::function<void(ConnectionPtr, bool Opened)>;

  explicit TargetPool(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  /// Hands over an idle connection at once or opens one. \p MaxIdle is the
  /// longest idleness of a kept connection that may be used.
  auto acquire(const TargetRecord &Target, Duration MaxIdle, Handler Done)
      -> void;

  /// Takes back a connection whose exchange is complete.
  auto release(const TargetRecord &Target, const ConnectionPtr &Connection)
      -> void;

  /// Closes the kept connections of a target.
  auto forget(const TargetId &Target) -> void;
  auto closeIdle(TimePoint Now) -> void;

  auto openedConnections() const -> std::uint64_t { return Opened; }

private:
  static auto poolKey(const TargetRecord &Target) -> std::string;

  boost::asio::any_io_executor Executor;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> Idle;
  std::uint64_t Opened = 0;
};

} // namespace buckthornring
