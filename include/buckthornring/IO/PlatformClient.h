#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace buckthornring {

/// What is known after a call to the platform.
enum class PlatformStatus {
  Done,
  Absent,      ///< There is no such object.
  Conflict,    ///< The condition did not hold; nothing was written.
  TooLarge,    ///< The value exceeds 1,000,000 bytes; nothing was written.
  Rejected,    ///< The platform found the call invalid; nothing was written.
  Unreachable, ///< No answer, and certainly no effect.
  Unknown,     ///< No answer; the write may have taken effect or still may.
};

inline constexpr EnumNames<PlatformStatus, 7>
    PlatformStatusNames({"done", "absent", "conflict", "too-large", "rejected",
                         "unreachable", "unknown"});

struct PlatformObject {
  std::string Name;
  std::uint64_t Version = 0;
  std::optional<std::string> Value; ///< Nothing when deleted.
};

/// Answer to get.
struct PlatformRead {
  PlatformStatus Status = PlatformStatus::Unreachable;
  std::uint64_t Version = 0;
  std::string Value;
};

/// Answer to put and remove. Version is the new version when Done, and the
/// current one on Conflict (0 when the object is absent).
struct PlatformWrite {
  PlatformStatus Status = PlatformStatus::Unreachable;
  std::uint64_t Version = 0;
};

/// Answer to list and watch. Revision covers all Objects and is the point to
/// continue from.
struct PlatformChanges {
  PlatformStatus Status = PlatformStatus::Unreachable;
  std::uint64_t Revision = 0;
  std::vector<PlatformObject> Objects;
};

enum class InstanceState { Live, Leaving };

inline constexpr EnumNames<InstanceState, 2> InstanceStateNames({"live",
                                                                 "leaving"});

struct ListedInstance {
  InstanceId Instance;
  std::string Address; ///< IP address and port of the instance's links.
  DataCentreId DataCentre;
  InstanceState State = InstanceState::Live;
};

struct PlatformInstances {
  PlatformStatus Status = PlatformStatus::Unreachable;
  std::vector<ListedInstance> Instances;
};

struct PlatformClientOptions {
  std::string Address; ///< IP address and port.
  /// Sent as Btr-Data-Centre; the platform test server can cut off the callers
  /// of one data centre by it.
  DataCentreId DataCentre;
  Duration TimeLimit = std::chrono::seconds(2); ///< For each call but watch.
  /// Added to the wait of a watch before it is given up.
  Duration WatchMargin = std::chrono::seconds(1);
};

class HttpClient;

/// Client of the platform's object API, on one io_context that one thread runs.
/// Callbacks run on that thread, never from within a method.
///
/// A write without an answer is Unknown: the caller has to read the object back
/// before it can rely on either outcome. Reads and watches never are.
class PlatformClient {
public:
  /// Returns an error when the address is not an IP address and port.
  static auto create(boost::asio::io_context &Context,
                     PlatformClientOptions Options)
      -> Result<std::unique_ptr<PlatformClient>>;

  ~PlatformClient();

  auto get(const std::string &Name, std::function<void(PlatformRead)> Done)
      -> void;
  /// Writes \p Value when the object has version \p Expected, or when it is
  /// absent and \p Expected is 0.
  auto put(const std::string &Name, std::uint64_t Expected, std::string Value,
           std::function<void(PlatformWrite)> Done) -> void;
  auto remove(const std::string &Name, std::uint64_t Expected,
              std::function<void(PlatformWrite)> Done) -> void;
  /// Returns all objects whose name starts with \p Prefix, without deleted
  /// ones.
  auto list(const std::string &Prefix,
            std::function<void(PlatformChanges)> Done) -> void;
  /// Waits up to \p Wait for objects under \p Prefix newer than \p After. An
  /// answer without objects means that nothing changed. After \p Wait plus the
  /// margin without an answer the connection is given up as silent and the
  /// status is Unreachable; the next watch uses a new connection.
  auto watch(const std::string &Prefix, std::uint64_t After, Duration Wait,
             std::function<void(PlatformChanges)> Done) -> void;
  auto instances(std::function<void(PlatformInstances)> Done) -> void;
  /// Sets this instance's entry in the platform's list.
  auto announce(const ListedInstance &Entry,
                std::function<void(PlatformWrite)> Done) -> void;

private:
  PlatformClient(PlatformClientOptions Options,
                 std::unique_ptr<HttpClient> Calls,
                 std::unique_ptr<HttpClient> Watches);

  PlatformClientOptions Options;
  std::unique_ptr<HttpClient> Calls;
  std::unique_ptr<HttpClient>
      Watches; ///< Kept apart: a watch holds its connection.
};

} // namespace buckthornring
