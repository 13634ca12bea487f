#pragma once

#include "Entry/ControlPlane.h"
#include "Entry/Gates.h"
#include "Entry/Publication.h"
#include "Entry/SnapshotBuilder.h"
#include "Entry/TargetMonitor.h"
#include "Entry/TrafficThread.h"
#include "IO/Log.h"
#include "IO/UnreadableLog.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Config/DaemonSettings.h"
#include "buckthornring/IO/HttpServer.h"
#include "buckthornring/IO/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace buckthornring {

/// One router process: the control thread, which is the thread that calls
/// run(), and the traffic threads.
class EntryInstance {
public:
  /// Binds all addresses. Fails when one cannot be bound.
  static auto create(DaemonSettings Settings)
      -> Result<std::unique_ptr<EntryInstance>>;
  ~EntryInstance();
  EntryInstance(const EntryInstance &) = delete;
  auto operator=(const EntryInstance &) -> EntryInstance & = delete;

  /// "listening caller=IP:PORT admin=IP:PORT link=IP:PORT".
  auto listeningLine() const -> std::string;

  /// Serves until SIGTERM or SIGINT, then until all requests have finished.
  auto run() -> void;

private:
  class ShareRequests;

  explicit EntryInstance(DaemonSettings Settings);

  auto bind() -> Result<bool>;
  auto bindAdmin() -> Result<bool>;
  auto accept() -> void;
  auto assignCaller(boost::asio::ip::tcp::socket Socket, std::size_t Thread)
      -> void;
  auto drainAcceptQueue() -> void;

  auto conditionOf(const ServiceId &Name, const TargetId &Target,
                   const ServiceConfig &Service) const -> TargetCondition;
  auto publish() -> void;

  auto answerAdmin(const HttpRequest &Request) -> HttpResponse;
  auto statusText() const -> std::string;
  auto metricsText() const -> std::string;

  auto beginShutdown() -> void;
  auto threadDrained() -> void;

  DaemonSettings Settings;
  Log Journal{"daemon"};
  UnreadableLog Unreadable{"daemon"};
  boost::asio::io_context Io{1};
  boost::asio::ip::tcp::acceptor CallerListener;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer LeaveTimer;
  std::unique_ptr<HttpServer> Admin;
  std::unique_ptr<PlatformClient> Platform;
  std::unique_ptr<ControlPlane> Control;
  GateTable Gates;
  TargetMonitor Monitor;
  Publication Published;
  std::unique_ptr<Counters> Totals;
  std::unique_ptr<ShareRequests> Shares;
  std::shared_ptr<const ConfigIndex> Index;
  std::vector<std::unique_ptr<TrafficThread>> Threads;
  std::shared_ptr<const RoutingSnapshot> Current;
  std::uint64_t Version = 0;
  std::size_t NextThread = 0;
  std::size_t Draining = 0;
  std::uint64_t RejectedCallers = 0; ///< Too many open connections.
  bool ShuttingDown = false;
};

} // namespace buckthornring
