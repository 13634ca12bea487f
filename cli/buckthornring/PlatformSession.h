#pragma once

#include "buckthornring/Config/ConfigRecord.h"
#include "buckthornring/Config/ConfigUpdate.h"
#include "buckthornring/IO/HttpMessage.h"
#include "buckthornring/IO/PlatformClient.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace buckthornring::cli {

/// Result of reading the object "config/current".
struct CurrentConfig {
  PlatformStatus Status = PlatformStatus::Unreachable;
  std::uint64_t Version = 0; ///< 0 when the object is absent.
  std::optional<ConfigRecord> Record;
  std::string ParseFailure; ///< Why the object cannot be used, when Rejected.
};

/// Blocking calls to the platform and to admin endpoints of instances.
class PlatformSession {
public:
  /// Fails when the address is not an IP address and port.
  static auto create(const std::string &Address, Duration TimeLimit)
      -> Result<std::unique_ptr<PlatformSession>>;

  /// Reads "config/current"; retries up to twice while unreachable.
  auto readCurrent() -> CurrentConfig;
  /// Reads an object; retries up to twice while unreachable.
  auto read(const std::string &Name) -> PlatformRead;
  auto instances() -> PlatformInstances;
  /// Makes the calls that the update asks for until it is done.
  auto run(ConfigUpdate &Update) -> void;

private:
  PlatformSession() = default;

  auto write(ConfigUpdate &Update) -> void;
  auto readBack(ConfigUpdate &Update) -> void;
  auto readOnce(const std::string &Name) -> PlatformRead;

  boost::asio::io_context Context{1};
  std::unique_ptr<PlatformClient> Client;
};

/// Requests \p Target from an HTTP endpoint of an instance. Fails when there is
/// no response.
auto requestAdmin(const std::string &Address, const std::string &Target,
                  Duration TimeLimit) -> Result<HttpResponse>;

/// Requests \p Target from an instance's admin endpoint. Returns the body of
/// the response, and fails when its status is not 200.
auto fetchAdmin(const std::string &Address, const std::string &Target,
                Duration TimeLimit) -> Result<std::string>;

} // namespace buckthornring::cli
