#pragma once

#include "Gateway/Gateway.h"
#include "support/FakeObjectStore.h"
#include "support/RequestPath.h"
#include "support/ScriptedTarget.h"

#include <atomic>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

namespace buckthornring::test {

/// One gateway instance with a store in memory and scripted targets.
///
/// Speaks the users' protocol. The configuration has the tenant "acme" with
/// key "secret", the routes /safe/ and /unsafe/ to the service "pay", /owned/
/// to the divided service "stock" and the open route /open/, all of host "h".
class GatewayPath {
public:
  GatewayPath();
  ~GatewayPath();

  auto store() -> StoreContents & { return *Contents; }
  /// Writes the settings file anew.
  auto touchSettings() -> void;
  /// How often the instance has read its settings file.
  auto reloads() const -> int { return Reloads; }
  auto addTarget(const std::string &Service, const std::string &Name,
                 const ScriptedTarget &Target,
                 const std::string &State = "ready", int Sequence = 1) -> void;
  /// Writes the configuration with a version; \p Service is that of /safe/.
  auto configure(int Version, const std::string &Service = "pay") -> void;
  /// Waits until the instance serves the safe route.
  auto waitUntilServing() -> bool;

  auto connect() -> RawCaller;
  /// Sends a request on a new connection that is closed after the answer.
  auto exchange(const std::string &Method, const std::string &Path,
                const std::string &Fields = "", const std::string &Body = "",
                const std::string &Id = "a1") -> CallerView;

  static auto request(const std::string &Method, const std::string &Path,
                      const std::string &Id, const std::string &Fields = "",
                      const std::string &Body = "") -> std::string;

  /// Script of a target that answers with the request's id and a signature.
  static auto answering(const std::string &Body = "ok",
                        const std::string &Fields = "", int Status = 200)
      -> ScriptedTarget::Script;
  static auto idOf(const std::string &Request) -> std::string;
  static auto answer(const std::string &Id, const std::string &Body,
                     const std::string &Fields = "", int Status = 200)
      -> std::string;

private:
  std::shared_ptr<StoreContents> Contents = std::make_shared<StoreContents>();
  std::filesystem::path SettingsFile;
  std::atomic<int> Reloads = 0;
  std::unique_ptr<Gateway> Instance;
  std::thread Running;
  boost::asio::io_context Io;
};

} // namespace buckthornring::test
