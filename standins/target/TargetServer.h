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
  bool Verified = false; ///< Runs only slices granted by a lease.
  std::size_t Connections = 120;
  Duration ConnectionCost = std::chrono::milliseconds(1);
  WorkerOptions Work;
  std::string RunLogPath; ///< Empty: the record is kept in memory only.
};

/// The target's HTTP API; see docs/design/target-protocol.md.
class TargetServer {
public:
  static auto start(boost::asio::io_context &Context, TargetOptions Options)
      -> Result<std::unique_ptr<TargetServer>>;

  auto port() const -> std::uint16_t { return Server->port(); }

private:
  struct Exchange;

  TargetServer(boost::asio::io_context &Context, TargetOptions Options);

  auto admitConnection(std::size_t Open) -> std::optional<Duration>;
  auto handle(const HttpRequest &Request, const HttpResponder &Responder)
      -> void;
  auto lease(const HttpRequest &Request) -> HttpResponse;
  auto health(const HttpRequest &Request) -> HttpResponse;
  auto load(const HttpRequest &Request) -> HttpResponse;
  auto drain(const HttpRequest &Request) -> HttpResponse;
  auto cancel(const HttpRequest &Request) -> HttpResponse;
  auto faults(const HttpRequest &Request) -> HttpResponse;
  auto runs(const HttpRequest &Request) -> HttpResponse;
  auto applyFaults(const nlohmann::json &Body) -> void;

  auto run(const HttpRequest &Request, const HttpResponder &Responder) -> void;
  auto refusalOf(const Exchange &Order) -> std::string;
  auto begin(const std::shared_ptr<Exchange> &Order) -> bool;
  auto finish(const std::shared_ptr<Exchange> &Order) -> void;
  auto isDraining() const -> bool;
  auto reported(const std::string &Kind, const nlohmann::json &Current)
      -> nlohmann::json;
  auto freeze(Duration Time) -> void;
  auto restartCold() -> void;
  auto rememberCancelled(const std::string &RequestId) -> void;

  boost::asio::io_context &Context;
  TargetOptions Options;
  std::string Start;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<GrantHolder> Grants;
  RunLog Log;
  Workers Slots;
  std::map<std::uint32_t, unsigned> RunningSlices;
  std::set<std::string> CancelledIds;
  std::deque<std::string> CancelledOrder;
  std::map<std::string, std::deque<std::pair<std::int64_t, nlohmann::json>>>
      Reports;
  std::int64_t ConnectionsReadyUs = 0;
  std::int64_t RefuseFromUs = 0; ///< 0: not draining.
  std::int64_t ReportLagUs = 0;
  nlohmann::json WrongLoad;  ///< Reported as in_flight unless null.
  nlohmann::json WrongState; ///< Reported as state unless null.
  bool ShedAll = false;
};

} // namespace buckthornring::standin
