#pragma once

#include "Gateway/GatewaySettings.h"
#include "Gateway/Protocol.h"
#include "buckthornring/Common/Result.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace buckthornring {

/// One instance on a platform whose store arbitrates: accepts callers, routes
/// their requests to targets, and takes part in the fleet.
///
/// Runs on one thread: the instances have a fraction of one core, and requests
/// and control share all their state.
class Gateway {
public:
  using StoreFactory = std::function<Result<std::unique_ptr<ObjectStore>>(
      boost::asio::io_context &, const std::string &Address)>;

  /// Binds all addresses. Fails when one cannot be bound.
  static auto create(GatewaySettings Settings, PlatformProtocol Protocol,
                     const StoreFactory &MakeStore)
      -> Result<std::unique_ptr<Gateway>>;

  ~Gateway();
  Gateway(const Gateway &) = delete;
  auto operator=(const Gateway &) -> Gateway & = delete;

  /// Serves until a stop signal has been handled.
  auto run() -> void;

  /// Called when the settings file has changed or SIGHUP arrived.
  using SettingsReload = std::function<Result<GatewaySettings>()>;
  /// \p Path is the file whose changes are noticed.
  auto setReload(SettingsReload Reload, std::filesystem::path Path) -> void;

  /// Stops at once. May be called from any thread.
  auto stop() -> void;

  /// IP address and port for callers, with the port that was bound.
  auto callerAddress() const -> std::string;

private:
  struct Impl;
  explicit Gateway(std::unique_ptr<Impl> Given);

  std::unique_ptr<Impl> Io;
};

} // namespace buckthornring
