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

/// Outcome of a call to the platform.
enum class PlatformStatus {
  Done,
  Absent,   ///< There is no such object.
  Conflict, ///< The expected version did not match; nothing was written.
  TooLarge, ///< The value exceeds 1,000,000 bytes; nothing was written.
  Rejected, ///< The platform rejected the call as invalid; nothing was written.
  Unreachable, ///< No usable response; the call had no effect.
  /// No usable response; the write may have taken effect or may still do so.
  Unknown,
};

inline constexpr EnumNames<PlatformStatus, 7>
    PlatformStatusNames({"done", "absent", "conflict", "too-large", "rejected",
                         "unreachable", "unknown"});

struct PlatformObject {
  std::string Name;
  std::uint64_t Version = 0;
  std::optional<std::string> Value; ///< Nothing when deleted.
};

/// Result of get().
struct PlatformRead {
  PlatformStatus Status = PlatformStatus::Unreachable;
  std::uint64_t Version = 0;
  std::string Value;
};

/// Result of put() and remove(). Version is the new version when Done, and the
/// current one on Conflict (0 when the object is absent).
struct PlatformWrite {
  PlatformStatus Status = PlatformStatus::Unreachable;
  std::uint64_t Version = 0;
};

/// Result of list() and watch(). Revision covers all Objects and is the point
/// from which to watch next.
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
  /// Sent as Btr-Data-Centre, by which the platform test server can disconnect
  /// the callers of one data centre.
  DataCentreId DataCentre;
  /// For each call except watch().
  Duration TimeLimit = std::chrono::seconds(2);
  /// Time beyond the wait of a watch after which the watch fails.
  Duration WatchMargin = std::chrono::seconds(1);
  /// As HttpClientOptions::OnUnreadable.
  std::function<void(const std::string &, const std::string &)> OnUnreadable;
};

class HttpClient;

/// Client of the platform's object API, on one io_context that one thread runs.
/// Callbacks run on that thread, never from within a method.
///
/// A write without a response is Unknown: the caller has to read the object
/// before it can rely on either outcome. Reads and watches are never Unknown.
class PlatformClient {
public:
  /// Fails when the address is not an IP address and port.
  static auto create(boost::asio::io_context &Context,
                     PlatformClientOptions Options)
      -> Result<std::unique_ptr<PlatformClient>>;

  ~PlatformClient();

  auto get(const std::string &Name, std::function<void(PlatformRead)> Done)
      -> void;
  /// Writes \p Value if the object has version \p ExpectedVersion, or if it is
  /// absent and \p ExpectedVersion is 0.
  auto put(const std::string &Name, std::uint64_t ExpectedVersion,
           std::string Value, std::function<void(PlatformWrite)> Done) -> void;
  auto remove(const std::string &Name, std::uint64_t ExpectedVersion,
              std::function<void(PlatformWrite)> Done) -> void;
  /// Returns all objects whose name starts with \p Prefix, except deleted ones.
  auto list(const std::string &Prefix,
            std::function<void(PlatformChanges)> Done) -> void;
  /// Waits up to \p Wait for objects under \p Prefix with a revision newer than
  /// \p AfterRevision. A response without objects means that nothing changed.
  /// Without a response within \p Wait plus WatchMargin the connection is
  /// closed as unresponsive and the status is Unreachable; the next watch uses
  /// a new connection.
  auto watch(const std::string &Prefix, std::uint64_t AfterRevision,
             Duration Wait, std::function<void(PlatformChanges)> Done) -> void;
  auto instances(std::function<void(PlatformInstances)> Done) -> void;
  /// Sets this instance's entry in the platform's list.
  auto announce(const ListedInstance &Entry,
                std::function<void(PlatformWrite)> Done) -> void;

private:
  PlatformClient(PlatformClientOptions Options,
                 std::unique_ptr<HttpClient> CallClient,
                 std::unique_ptr<HttpClient> WatchClient);

  PlatformClientOptions Options;
  std::unique_ptr<HttpClient> CallClient;
  /// Separate, since a watch occupies its connection until its response.
  std::unique_ptr<HttpClient> WatchClient;
};

} // namespace buckthornring
