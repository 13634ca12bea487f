#pragma once

#include "Gateway/Protocol.h"
#include "IO/EventLog.h"
#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace buckthornring {

/// The store as an instance reaches it: reads go through an instance of the
/// same data centre that passes changes on, where there is one. While that one
/// does not answer or has no contact with the store itself, reads go to the
/// store directly. Writes always do.
class RelayedStore final : public ObjectStore {
public:
  RelayedStore(boost::asio::io_context &Io, std::unique_ptr<ObjectStore> Direct,
               EventLog &Events)
      : Io(Io), Direct(std::move(Direct)), Events(Events) {}

  /// Reads through the instance at \p Address from now on; empty: directly.
  auto useRelay(const std::string &Address) -> void;
  /// The relay is behind or does not answer: reads go to the store for a while.
  auto distrust(const char *Reason) -> void;
  auto relay() const -> const std::string & { return Relay; }

  auto list(const std::string &Kind, ChangesHandler Done) -> void override;
  auto watch(const std::string &Kind, std::uint64_t Revision, Duration Wait,
             ChangesHandler Done) -> void override;
  auto write(const std::string &Kind, const std::string &Name,
             std::uint64_t Expected, nlohmann::json Value, WriteHandler Done)
      -> void override;

private:
  auto trusted() const -> bool;
  /// Calls the relay; \p Otherwise is called when it did not answer.
  auto ask(const std::string &Query, Duration Limit, ChangesHandler Done,
           std::function<void(ChangesHandler)> Otherwise) -> void;

  boost::asio::io_context &Io;
  std::unique_ptr<ObjectStore> Direct;
  EventLog &Events;
  std::string Relay; ///< Empty: none.
  std::shared_ptr<HttpClient> Client;
  TimePoint DistrustedUntil = LongAgo;
};

} // namespace buckthornring
