#pragma once

#include "GrantHolder.h"
#include "RunLog.h"
#include "WorkerPool.h"

#include "buckthornring/IO/HttpServer.h"

#include <deque>
#include <set>

namespace buckthornring::standin {

struct TargetOptions {
  std::string Name;
  std::uint16_t Port = 0;
  bool Verified = false; ///< Runs only requests for slices granted by a lease.
  std::size_t MaxConnections = 120;
  /// New connections become ready one after another, this far apart.
  Duration ConnectionSetupTime = std::chrono::milliseconds(1);
  WorkerOptions Work;
  std::string RunLogPath; ///< Empty: runs are recorded in memory only.
};

/// Serves the target's HTTP API; see docs/design/target-protocol.md.
class TargetServer {
public:
  static auto start(boost::asio::io_context &Context, TargetOptions Options)
      -> Result<std::unique_ptr<TargetServer>>;

  auto port() const -> std::uint16_t { return Server->port(); }

private:
  struct Exchange;

  TargetServer(boost::asio::io_context &Context, TargetOptions Options);

  auto admitConnection(std::size_t OpenConnections) -> std::optional<Duration>;
  auto handle(const HttpRequest &Request, const HttpResponder &Responder)
      -> void;
  auto lease(const HttpRequest &Request) -> HttpResponse;
  auto health(const HttpRequest &Request) -> HttpResponse;
  auto load(const HttpRequest &Request) -> HttpResponse;
  auto drain(const HttpRequest &Request) -> HttpResponse;
  auto cancel(const HttpRequest &Request) -> HttpResponse;
  auto setFaults(const HttpRequest &Request) -> HttpResponse;
  auto runs(const HttpRequest &Request) -> HttpResponse;
  auto applyFaults(const nlohmann::json &Body) -> void;

  auto run(const HttpRequest &Request, const HttpResponder &Responder) -> void;
  auto refusalReason(const Exchange &ActiveExchange) -> std::string;
  auto begin(const std::shared_ptr<Exchange> &ActiveExchange) -> bool;
  auto finish(const std::shared_ptr<Exchange> &ActiveExchange) -> void;
  auto isDraining() const -> bool;
  auto laggedReport(const std::string &Kind, const nlohmann::json &Current)
      -> nlohmann::json;
  auto freeze(Duration FreezePeriod) -> void;
  auto restartCold() -> void;
  auto rememberCancelled(const std::string &RequestId) -> void;

  boost::asio::io_context &Context;
  TargetOptions Options;
  std::string StartId;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<GrantHolder> Grants;
  RunLog Log;
  WorkerPool Pool;
  std::map<std::uint32_t, unsigned> RunningSlices;
  std::set<std::string> CancelledIds;
  std::deque<std::string> CancelledIdOrder;
  std::map<std::string, std::deque<std::pair<std::int64_t, nlohmann::json>>>
      ReportHistory;
  std::int64_t ConnectionsReadyUs = 0;
  std::int64_t RefuseFromUs = 0; ///< 0: not draining.
  std::int64_t ReportLagUs = 0;
  nlohmann::json WrongLoad;  ///< Reported as in_flight unless null.
  nlohmann::json WrongState; ///< Reported as state unless null.
  bool ShedAll = false;
};

} // namespace buckthornring::standin
