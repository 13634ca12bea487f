#pragma once

#include "Fleet/TargetRecord.h"
#include "Gateway/TargetConnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Pool of idle connections to targets, by target incarnation: an address may
/// be reassigned to another target.
class TargetConnectionPool {
public:
  using ConnectionPtr = std::shared_ptr<TargetConnection>;
  /// Receives a connection, or null on failure, and whether it was newly
  /// opened.
  using Handler = std::function<void(ConnectionPtr, bool Opened)>;

  explicit TargetConnectionPool(
      boost::asio::any_io_executor Executor,
      std::shared_ptr<MemoryBudget> Memory = std::make_shared<MemoryBudget>())
      : Executor(std::move(Executor)), Memory(std::move(Memory)),
        Budget(std::make_shared<BodyBudget>(MaxReceivedBodyBytes)) {}

  /// Requirements of a request on its connection.
  struct Needs {
    /// Id of the request. A connection on which the target has rejected it
    /// before is not used: a second copy of that response may still arrive.
    std::string RequestId;
    /// Longest idle time of a connection that may be reused.
    Duration MaxIdle = Duration::max();
    /// Opens a connection. A second copy of a response that could be taken for
    /// the one to this request may still arrive on any of the idle ones.
    bool Fresh = false;
    /// TargetConnection::ConnectOptions.
    bool AwaitReset = false;
  };

  /// Passes on an idle connection at once or opens one.
  auto acquire(const TargetRecord &Target, const Needs &Required, Handler Done)
      -> void;

  /// Returns a connection whose exchange is complete to the pool.
  auto release(const TargetRecord &Target, const ConnectionPtr &Connection)
      -> void;

  /// Closes the idle connections to a target, of all its incarnations.
  auto closeConnections(const TargetId &Target) -> void;
  auto closeExpired(TimePoint Now) -> void;

  auto openedConnections() const -> std::uint64_t { return Opened; }

private:
  /// Memory for response bodies that are being received; the smallest instances
  /// have 160 MB in all.
  static constexpr std::size_t MaxReceivedBodyBytes = 48UL * 1024 * 1024;

  static auto poolKey(const TargetRecord &Target) -> std::string;

  boost::asio::any_io_executor Executor;
  std::shared_ptr<MemoryBudget> Memory;
  std::shared_ptr<BodyBudget> Budget;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> Idle;
  std::uint64_t Opened = 0;
};

} // namespace buckthornring
