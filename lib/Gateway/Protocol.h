#pragma once

#include "Fleet/RangeAssigner.h"
#include "Fleet/TargetAnnouncements.h"
#include "Fleet/TargetRecord.h"
#include "Gateway/ObjectSchema.h"
#include "Rollout/Rollout.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/IO/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// Names of the header fields that the router reads and sets.
struct HeaderNames {
  std::string RequestId; ///< Set by the caller, echoed by the target.
  std::string Deadline;  ///< Remaining time in ms.
  std::string CallerKey; ///< The caller's secret key; never sent to a target.
  std::string Workspace; ///< Set by the router for the target.
  std::string ExpectedTarget; ///< The only target that may run the request.
  std::string KeyNumber;      ///< Numeric key, for divided services.
  std::string Signature;      ///< Proves that a target made the response.
  std::string NotRun;         ///< The target did not run the request.
  std::string Load;           ///< The target's load.
  std::string TargetName;     ///< The target's id, in health responses.
  std::string ColdTime; ///< Remaining cold time in ms, in health responses.
  std::string Leaving;  ///< The target stops soon.
  std::string Pause;    ///< Seconds for which the target wants no requests.
};

/// Outcome of a call to the store, as far as the caller knows it.
enum class StoreStatus {
  Done,
  Absent,      ///< There is no such object.
  Conflict,    ///< The condition did not hold; nothing was written.
  HistoryLost, ///< The store no longer keeps the history since the revision;
               ///< list again.
  Refused,     ///< The store rejected the call and did nothing.
  Unreachable, ///< No response; the call had no effect.
  Unknown, ///< No response; the write may have taken effect or may do so later.
};

inline constexpr EnumNames<StoreStatus, 7>
    StoreStatusNames({"done", "absent", "conflict", "history-lost", "refused",
                      "unreachable", "unknown"});

struct StoredObject {
  std::string Name;
  std::uint64_t Revision = 0;
  bool Deleted = false;
  nlohmann::json Value;
  /// Status beside the value, of kinds that have one; null: none.
  nlohmann::json Status = nullptr;
};

/// Result of list and watch. Revision is the one to continue watching from.
struct StoreChanges {
  StoreStatus Status = StoreStatus::Unreachable;
  std::vector<StoredObject> Objects;
  std::uint64_t Revision = 0;
  /// Upper bound on the age of the state if an instance relayed it.
  Duration Age{0};
};

/// Result of a write. Object is what the store holds, if it reported it.
struct StoreWriteResult {
  StoreStatus Status = StoreStatus::Unknown;
  std::optional<StoredObject> Object;
};

/// A read of the store that may be in progress.
class StoreRead {
public:
  StoreRead() = default;
  StoreRead(const StoreRead &) = delete;
  auto operator=(const StoreRead &) -> StoreRead & = delete;
  virtual ~StoreRead() = default;

  /// Whether the response is arriving. A read whose response pauses for long
  /// ends by itself.
  virtual auto receiving() const -> bool = 0;
  /// Ends the read without calling its handler.
  virtual auto cancel() -> void = 0;
};

/// Versioned objects by kind and name, with conditional writes and watches.
class ObjectStore {
public:
  using ChangesHandler = std::function<void(StoreChanges)>;
  using WriteHandler = std::function<void(StoreWriteResult)>;
  /// Null: the read can neither be observed nor cancelled.
  using ReadPtr = std::shared_ptr<StoreRead>;

  virtual ~ObjectStore() = default;

  /// All objects of a kind.
  virtual auto list(const std::string &Kind, ChangesHandler Done)
      -> ReadPtr = 0;
  /// Waits up to \p Wait for changes after \p Revision.
  virtual auto watch(const std::string &Kind, std::uint64_t Revision,
                     Duration Wait, ChangesHandler Done) -> ReadPtr = 0;
  /// Replaces the object when it has revision \p Expected; 0 creates it.
  virtual auto write(const std::string &Kind, const std::string &Name,
                     std::uint64_t Expected, nlohmann::json Value,
                     WriteHandler Done) -> void = 0;
  /// Replaces the status of the object when it has revision \p Expected.
  virtual auto writeStatus(const std::string &Kind, const std::string &Name,
                           std::uint64_t Expected, nlohmann::json Status,
                           WriteHandler Done) -> void = 0;
};

/// Names of the object kinds in the store, and parsers for their objects.
struct ObjectKinds {
  std::string Settings;     ///< Kind of the configuration object.
  std::string SettingsName; ///< Its name.
  std::string Targets;      ///< Kind of the targets' records.
  std::string Evacuations;  ///< Kind of evacuations, named after data centres.
  std::string Own;          ///< Kind of the router's own objects.
  std::string Rollouts;     ///< Kind of rollout orders, named after services.
  ObjectSchema Schema;      ///< What is read of them.

  std::function<Result<Configuration>(const nlohmann::json &)>
      ReadConfiguration;
  /// Generation of a configuration object, or nothing if it has none.
  std::function<std::optional<std::uint64_t>(const nlohmann::json &)>
      ReadGeneration;
  std::function<Result<TargetRecord>(const StoredObject &)> ReadTarget;
  std::function<Result<RolloutOrder>(const StoredObject &)> ReadRollout;
  /// Status of an order that is in a state.
  std::function<nlohmann::json(RolloutState, const std::string &To)>
      EncodeRolloutStatus;
};

/// Parses a load header. Returns nullopt if it is malformed.
using LoadReader = std::function<std::optional<LoadReport>(std::string_view)>;

/// Reads what a target announces of itself in a response.
using NoticeReader =
    std::function<TargetNotices(unsigned Status, const HttpHeaders &)>;

/// One order as an HTTP request of the targets' protocol.
struct OrderRequest {
  std::string Path;
  std::string Body;
};

/// Protocol of orders to targets that own keys: grants and releases.
struct OrderProtocol {
  std::function<OrderRequest(const RangeOrder &)> Encode;
  /// State that a target hands over in its response to a release. Empty: there
  /// is none, or none that can be sent to another target.
  std::function<std::string(const HttpHeaders &)> ReadHandover;
};

/// Everything specific to the platform that the router runs on.
struct PlatformProtocol {
  HeaderNames Headers;
  ObjectKinds Kinds;
  LoadReader ReadLoad;
  NoticeReader ReadNotices;
  OrderProtocol Orders;
};

} // namespace buckthornring
