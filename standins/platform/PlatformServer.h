#pragma once

#include "InstanceList.h"
#include "ObjectStore.h"

#include "buckthornring/IO/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <set>

namespace buckthornring::standin {

/// Injected faults, set by POST /faults.
struct PlatformFaults {
  /// Each call has no effect and no response, and its connection is closed.
  bool Outage = false;
  /// The same as Outage, but for callers in these data centres only.
  std::set<std::string> OutageDataCentres;
  /// Time before a call takes effect.
  std::chrono::milliseconds Delay{0};
  /// Number of next successful writes that take effect but whose connections
  /// are closed without a response.
  unsigned UnansweredWrites = 0;
  /// Connections of watches stay open without a response: those of new watches
  /// at once, those of waiting ones from the next change on.
  bool SilentWatches = false;
  /// Time before a change shows in the instance list.
  std::chrono::milliseconds ListLag{0};
};

/// Serves the platform's HTTP API from an in-memory store.
class PlatformServer {
public:
  static auto start(boost::asio::io_context &Context, std::uint16_t Port)
      -> Result<std::unique_ptr<PlatformServer>>;

  auto port() const -> std::uint16_t { return Server->port(); }

private:
  struct Watch {
    Watch(boost::asio::io_context &Context, HttpResponder Responder)
        : Timer(Context), Responder(std::move(Responder)) {}

    boost::asio::steady_timer Timer;
    HttpResponder Responder;
    std::string Prefix;
    std::string DataCentre; ///< Of the caller, empty when not given.
    std::uint64_t AfterRevision = 0;
  };

  explicit PlatformServer(boost::asio::io_context &Context)
      : Context(Context) {}

  auto handle(const HttpRequest &Request, const HttpResponder &Responder)
      -> void;
  auto isCutOff(const std::string &DataCentre) const -> bool;
  auto closeCutOffWatches() -> void;
  auto dispatch(const HttpRequest &Request, const HttpResponder &Responder)
      -> void;
  auto readObject(const std::string &Name, const HttpResponder &Responder)
      -> void;
  auto writeObject(const HttpRequest &Request, const std::string &Name,
                   const HttpResponder &Responder) -> void;
  auto listObjects(const HttpRequest &Request, const HttpResponder &Responder)
      -> void;
  auto addWatch(const std::shared_ptr<Watch> &NewWatch,
                std::chrono::milliseconds WaitTimeout) -> void;
  auto respondToWatches(const std::string &ChangedName) -> void;
  auto changesResponse(const std::string &Prefix,
                       std::uint64_t AfterRevision) const -> HttpResponse;
  auto writeInstance(const HttpRequest &Request, const std::string &Id)
      -> HttpResponse;
  auto respondToWrite(const HttpResponder &Responder, HttpResponse Response)
      -> void;
  auto setFaults(const HttpRequest &Request) -> HttpResponse;
  auto stats() const -> HttpResponse;

  boost::asio::io_context &Context;
  std::unique_ptr<HttpServer> Server;
  ObjectStore Store;
  InstanceList Instances;
  PlatformFaults Faults;
  std::list<std::shared_ptr<Watch>> Watches;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t WatchCalls = 0;
  std::uint64_t CutOffCalls = 0;
};

} // namespace buckthornring::standin
