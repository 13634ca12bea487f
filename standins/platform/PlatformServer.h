#pragma once

#include "InstanceList.h"
#include "ObjectStore.h"

#include "buckthornring/IO/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <set>

namespace buckthornring::standin {

/// Fault switches, set by POST /faults.
struct PlatformFaults {
  bool Outage = false; ///< Closes each connection without effect or answer.
  std::set<std::string> OutageDataCentres; ///< The same for these callers only.
  std::chrono::milliseconds Delay{0};      ///< Before a call takes effect.
  unsigned LoseAnswers = 0;   ///< Writes to come that take effect unanswered.
  bool SilentWatches = false; ///< Watches are never answered.
  std::chrono::milliseconds ListLag{0};
};

/// The platform's HTTP API on an in-memory store.
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
    std::uint64_t After = 0;
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
  auto wait(const std::shared_ptr<Watch> &Waiting,
            std::chrono::milliseconds Limit) -> void;
  auto answerWatches(const std::string &Changed) -> void;
  auto changesAnswer(const std::string &Prefix, std::uint64_t After) const
      -> HttpResponse;
  auto writeInstance(const HttpRequest &Request, const std::string &Id)
      -> HttpResponse;
  auto answerWrite(const HttpResponder &Responder, HttpResponse Answer) -> void;
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
  std::uint64_t CutOff = 0;
};

} // namespace buckthornring::standin
