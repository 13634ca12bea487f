#pragma once

#include "Gateway/Protocol.h"
#include "IO/EventLog.h"
#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace buckthornring {

/// Access of an instance to the store. Reads go through the relay, an instance
/// of the same data centre that serves its own reads to the others, if there is
/// one. While the relay does not answer or has no contact with the store
/// itself, reads go to the store directly. Writes always do.
class RelayedStore final : public ObjectStore {
public:
  RelayedStore(boost::asio::io_context &Io,
               std::unique_ptr<ObjectStore> DirectStore, EventLog &Events)
      : Io(Io), DirectStore(std::move(DirectStore)), Events(Events) {}

  /// Reads through the instance at \p Address from now on, or directly when it
  /// is empty.
  auto useRelay(const std::string &Address) -> void;
  /// The relay is behind other instances or does not answer: reads go to the
  /// store for a while.
  auto distrust(const char *Reason) -> void;
  auto relay() const -> const std::string & { return Relay; }

  auto list(const std::string &Kind, ChangesHandler OnDone) -> void override;
  auto watch(const std::string &Kind, std::uint64_t Revision, Duration Wait,
             ChangesHandler OnDone) -> void override;
  auto write(const std::string &Kind, const std::string &Name,
             std::uint64_t Expected, nlohmann::json Value, WriteHandler OnDone)
      -> void override;

private:
  auto relayUsable() const -> bool;
  /// Calls the relay; calls \p Fallback when it gave no usable answer within \p
  /// Timeout.
  auto callRelay(const std::string &Query, Duration Timeout,
                 ChangesHandler OnDone,
                 std::function<void(ChangesHandler)> Fallback) -> void;

  boost::asio::io_context &Io;
  std::unique_ptr<ObjectStore> DirectStore;
  EventLog &Events;
  std::string Relay; ///< Empty: none.
  std::shared_ptr<HttpClient> Client;
  TimePoint DistrustedUntil = LongAgo;
};

} // namespace buckthornring
