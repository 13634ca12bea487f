#pragma once

#include "Gateway/Protocol.h"
#include "IO/EventLog.h"
#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring {

/// Access of an instance to the store. Reads go through a relay, an instance of
/// the same data centre that serves its own reads to the others, if there is
/// one, or else through the backup relay. While neither answers or has contact
/// with the store itself, reads go to the store directly. Writes always do.
class RelayedStore final : public ObjectStore {
public:
  RelayedStore(boost::asio::io_context &Io,
               std::unique_ptr<ObjectStore> DirectStore, ObjectSchema Schema,
               EventLog &Events)
      : Io(Io), DirectStore(std::move(DirectStore)), Schema(std::move(Schema)),
        Events(Events) {}

  /// Reads through the instance at \p Primary from now on, and through the one
  /// at \p Backup while the first does not respond. Empty: there is none. Open
  /// reads that go to the store move to a new relay.
  auto useRelays(const std::string &Primary, const std::string &Backup) -> void;
  /// \p Handler is called when a write has ended without an answer.
  auto onWriteUnanswered(std::function<void()> Handler) -> void {
    WriteUnanswered = std::move(Handler);
  }
  /// The relays are behind other instances: reads go to the store for a while.
  auto distrust(const char *Reason) -> void;

  auto list(const std::string &Kind, ChangesHandler OnDone) -> ReadPtr override;
  auto watch(const std::string &Kind, std::uint64_t Revision, Duration Wait,
             ChangesHandler OnDone) -> ReadPtr override;
  auto write(const std::string &Kind, const std::string &Name,
             std::uint64_t Expected, nlohmann::json Value, WriteHandler OnDone)
      -> void override;
  auto writeStatus(const std::string &Kind, const std::string &Name,
                   std::uint64_t Expected, nlohmann::json Status,
                   WriteHandler OnDone) -> void override;

private:
  struct RelayedRead;
  struct Relay {
    std::string Address; ///< Empty: none.
    std::shared_ptr<HttpClient> Client;
    TimePoint DistrustedUntil = LongAgo;
  };

  auto connectTo(const std::string &Address) const -> Relay;
  auto distrust(Relay &Failed, const char *Reason) -> void;
  /// Returns the first relay that is not distrusted, or null.
  auto usableRelay() -> Relay *;
  /// Whether a relay is named, trusted or not.
  auto hasRelay() const -> bool;
  /// Sends the read to the first usable relay, then to the next one if that
  /// gives no usable answer, and at last to the store.
  auto send(const std::shared_ptr<RelayedRead> &Read) -> void;
  auto sendDirectly(const std::shared_ptr<RelayedRead> &Read) -> void;
  auto moveDirectReads() -> void;
  /// Passes the answer on and reports a write that has got none.
  auto observeWrite(WriteHandler OnDone) -> WriteHandler;
  auto onAnswer(const std::shared_ptr<RelayedRead> &Read,
                const HttpClient *UsedClient, const HttpOutcome &Outcome)
      -> void;

  boost::asio::io_context &Io;
  std::unique_ptr<ObjectStore> DirectStore;
  ObjectSchema Schema; ///< What is kept of the answers of relays.
  EventLog &Events;
  std::array<Relay, 2> Relays; ///< Primary and backup.
  std::vector<std::weak_ptr<RelayedRead>> DirectReads;
  std::function<void()> WriteUnanswered = [] {};
};

} // namespace buckthornring
