#pragma once

#include "Caller.h"
#include "ChildProcess.h"

#include <filesystem>
#include <map>

namespace buckthornring::test {

struct FleetOptions {
  std::vector<std::string> DataCentres = {"a"};
  unsigned InstancesPerDataCentre = 3;
  unsigned TargetsPerDataCentre = 3; ///< Of each service.
  /// Services to run: "content" (divided, verified), "stock" (divided,
  /// unverified), "orders" (undivided).
  std::vector<std::string> Services = {"content", "orders"};
  std::vector<std::string> TargetArguments; ///< Added for every target.
  double SecondRate = 100000; ///< Requests per second of workspace w2.
  double SecondBurst = 100000;
};

/// One run that a target recorded.
struct RecordedRun {
  std::string Target;
  std::string Path;
  std::string Workspace;
  std::string Slice;
  std::pair<std::uint64_t, std::uint64_t> Epoch; ///< Term and sequence.
  bool SawCallerKey = false;
  std::int64_t StartedUs = 0;
};

/// Platform, targets and instances as processes on loopback, with one accepted
/// configuration. Everything ends with the object.
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

  /// Waits until the instances have found each other, each data centre has a
  /// leader and a deputy, and every instance serves keys of every service.
  auto waitUntilServing() -> bool;

  /// Sends a request with "key-one" to an instance.
  auto call(std::size_t Instance, const std::string &Method,
            const std::string &Path, HttpHeaders Extra = {}) -> HttpOutcome;
  /// Returns the name of the target that answers for a path, or nothing.
  auto servedBy(std::size_t Instance, const std::string &Path) -> std::string;

  /// Writes the configuration as the next generation.
  auto applyConfig() -> void;
  auto generationInForce(std::size_t Instance) -> std::uint64_t;
  auto setPlatformFaults(const nlohmann::json &Faults) -> void;

  /// Returns the runs of all targets, killed ones included, by start time.
  auto runs() const -> std::vector<RecordedRun>;
  /// Expects that no slice ran under an epoch lower than one that had already
  /// run, and that no target saw a caller key.
  auto expectOwnershipKept() const -> void;

  nlohmann::json Config; ///< Content of the configuration.
  std::string PlatformAddress;
  std::vector<Instance> Instances;
  std::map<std::string, Target> Targets;
  std::uint64_t Generation = 0;

private:
  auto hasSettled(std::string &Missing) -> bool;
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
