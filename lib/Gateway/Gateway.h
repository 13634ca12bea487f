#pragma once

#include "Gateway/GatewaySettings.h"
#include "Gateway/Protocol.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace buckthornring {

/// One instance of a fleet that coordinates through the platform's object
/// store: accepts callers, routes their requests to targets, and takes part in
/// the fleet's coordination.
///
/// Runs on one thread: an instance has a fraction of one core, and request
/// handling and control share all their state.
class Gateway {
public:
  using StoreFactory = std::function<Result<std::unique_ptr<ObjectStore>>(
      boost::asio::io_context &, const std::string &Address,
      HttpClientOptions Options)>;

  /// Binds all addresses. Fails when one cannot be bound.
  static auto create(GatewaySettings Settings, PlatformProtocol Protocol,
                     const StoreFactory &MakeStore)
      -> Result<std::unique_ptr<Gateway>>;

  ~Gateway();
  Gateway(const Gateway &) = delete;
  auto operator=(const Gateway &) -> Gateway & = delete;

  /// Serves until a stop signal has been handled. Returns whether it was: an
  /// exception in a handler is logged and ends the instance at once, since what
  /// the handler was changing may be half changed.
  auto run() -> bool;

  /// Called when the settings file has changed or SIGHUP arrived.
  using SettingsReload = std::function<Result<GatewaySettings>()>;
  /// \p Path is the settings file that is checked for changes.
  auto setReload(SettingsReload Reload, std::filesystem::path Path) -> void;

  /// Stops at once. May be called from any thread.
  auto stop() -> void;

  /// IP address and bound port of the listener for callers.
  auto callerAddress() const -> std::string;

  /// IP address and bound port of the listener for other instances and metrics.
  auto peerAddress() const -> std::string;

private:
  struct Impl;
  explicit Gateway(std::unique_ptr<Impl> Created);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace buckthornring
