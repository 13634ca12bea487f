#pragma once

#include "Caller.h"
#include "ChildProcess.h"

#include <filesystem>
#include <map>

namespace buckthornring::test {

struct FleetOptions {
  std::vector<std::string> DataCentres = {"a"};
  unsigned InstancesPerDataCentre = 3;
  unsigned TargetsPerDataCentre = 3; ///< Per service.
  /// Services to run: "content" (divided, verified), "stock" (divided,
  /// unverified), "orders" (undivided).
  std::vector<std::string> Services = {"content", "orders"};
  std::vector<std::string>
      TargetArguments;                 ///< Extra arguments of every target.
  double SecondWorkspaceRate = 100000; ///< Requests per second of workspace w2.
  double SecondWorkspaceBurst = 100000;
};

/// One request as recorded by the target that ran it.
struct RecordedRun {
  std::string Target;
  std::string Path;
  std::string Workspace;
  std::string Slice;
  std::pair<std::uint64_t, std::uint64_t> Epoch; ///< Term and sequence.
  bool SawCallerKey = false;
  std::int64_t StartedUs = 0;
};

/// A platform, targets and instances as processes on loopback, with one
/// accepted configuration. The destructor ends all processes.
///
/// Routes: /content/KEY, /stock/KEY and /orders/... need a caller key; /public
/// is an open route to "orders". Caller keys: "key-one" (workspace w1),
/// "key-two" (w2) and "key-old" (w1, withdrawn).
class Fleet {
public:
  explicit Fleet(FleetOptions Options = {});
  ~Fleet();
  Fleet(const Fleet &) = delete;
  auto operator=(const Fleet &) -> Fleet & = delete;

  struct Instance {
    ChildProcess Process;
    std::string Name;
    std::string DataCentre;
    std::string CallerAddress;
    std::string AdminAddress;
  };
  struct Target {
    ChildProcess Process;
    std::string Address;
    std::string DataCentre;
  };

  /// Waits until every instance is connected to all others, knows a deputy when
  /// its data centre has one, and serves keys of every service.
  auto waitUntilServing() -> bool;

  /// Sends a request with "key-one" to an instance.
  auto call(std::size_t Instance, const std::string &Method,
            const std::string &Path, HttpHeaders Extra = {}) -> HttpOutcome;
  /// Returns the name of the target that serves a path, or an empty string.
  auto servedBy(std::size_t Instance, const std::string &Path) -> std::string;

  /// Writes the configuration as the next generation.
  auto applyConfig() -> void;
  auto generationInForce(std::size_t Instance) -> std::uint64_t;
  auto setPlatformFaults(const nlohmann::json &Faults) -> void;

  /// Returns the runs of all targets, including killed ones, ordered by start
  /// time.
  auto runs() const -> std::vector<RecordedRun>;
  /// Expects that the epochs of each slice never decrease from one run to the
  /// next, that each epoch has one owner, and that no target saw a caller key.
  auto expectRunInvariants() const -> void;

  nlohmann::json Config; ///< Content of the configuration.
  std::string PlatformAddress;
  std::vector<Instance> Instances;
  std::map<std::string, Target> Targets;
  std::uint64_t Generation = 0;

private:
  auto hasConverged(std::string &NotReadyReason) -> bool;
  auto startTargets() -> void;
  auto startInstances() -> void;
  auto describeServices() -> nlohmann::json;

  FleetOptions Options;
  std::filesystem::path Folder;
  ChildProcess Platform;
  Caller Control;
  std::uint64_t PlatformVersion = 0;
};

/// Returns the value of a response header, or "none".
auto headerOf(const HttpOutcome &Outcome, std::string_view Name) -> std::string;

} // namespace buckthornring::test
