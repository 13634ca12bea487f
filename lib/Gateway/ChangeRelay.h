#pragma once

#include "Gateway/StoreFeed.h"
#include "buckthornring/IO/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace buckthornring {

/// Serves the objects that this instance's feeds have read from the store to
/// the other instances of its data centre, which then need no watches of their
/// own.
///
/// Answers GET /changes?kind=K[&since=REVISION&wait_ms=N] from the feed of kind
/// K: with all objects, or with those changed after a revision as soon as there
/// are any. An instance that has just become the relay delays the answer until
/// it has read the store. Large lists are compressed for readers that accept
/// the content coding "deflate". Status 404: there is no such kind; 410: the
/// changes since that revision are no longer kept; 503: this instance has no
/// recent proof that it reaches the store.
class ChangeRelay {
public:
  static constexpr const char *Path = "/changes";

  /// \p ContactFeed is the feed whose answers prove contact with the store.
  ChangeRelay(boost::asio::io_context &Io, const StoreFeed &ContactFeed)
      : Io(Io), ContactFeed(ContactFeed) {}

  auto add(const std::string &Kind, const StoreFeed &Feed) -> void {
    Feeds[Kind] = &Feed;
  }

  /// From now on this instance reads the store directly; what its feeds have
  /// read before may have come late through another relay.
  auto begin() -> void;
  auto handleRequest(const HttpRequest &Request, const HttpResponder &Responder)
      -> void;
  /// A feed has new objects; answers the calls that wait for them.
  auto onFeedAdvanced() -> void;
  /// Contact with the store was lost; answers all waiting calls with status
  /// 503.
  auto onContactLost() -> void;

  /// Fields of a compressed response. Its body is the list of objects alone, so
  /// that it is the same for all readers of a change.
  static constexpr const char *RevisionField = "Btr-Revision";
  static constexpr const char *AgeField = "Btr-Age-Us";

private:
  struct Query {
    std::string Kind;
    std::optional<std::uint64_t> Since; ///< Nothing: all objects.
    bool AcceptsDeflate = false;

    friend auto operator==(const Query &, const Query &) -> bool = default;
  };
  struct PendingCall {
    PendingCall(boost::asio::io_context &Io, Query Asked,
                const HttpResponder &Responder)
        : Timer(Io), Asked(std::move(Asked)), Responder(Responder) {}

    boost::asio::steady_timer Timer;
    Query Asked;
    HttpResponder Responder;
  };
  /// A list of objects as it is sent.
  struct EncodedObjects {
    Query Asked;
    std::uint64_t ChangeCount = 0; ///< StoreFeed::changeCount().
    std::string Text;
    bool Compressed = false;
  };

  /// Whether there is a recent proof of contact with the store.
  auto hasRecentContact() const -> bool;
  /// Whether the feed of the kind is known to be up to date.
  auto upToDate(const std::string &Kind) const -> bool;
  /// Whether a call need not wait for changes.
  auto hasChanges(const Query &Asked) const -> bool;
  auto onTimeout(const std::shared_ptr<PendingCall> &Call) -> void;
  auto respond(const Query &Asked, const HttpResponder &Responder) -> void;
  /// Returns null when the changes that are asked for are no longer kept.
  auto encodeObjects(const Query &Asked) -> const EncodedObjects *;

  boost::asio::io_context &Io;
  const StoreFeed &ContactFeed;
  TimePoint BegunAt = LongAgo;
  std::map<std::string, const StoreFeed *> Feeds;
  /// The last list of each kind: readers that wait for a change ask for the
  /// same one.
  std::map<std::string, EncodedObjects> LastEncoded;
  std::list<std::shared_ptr<PendingCall>> PendingCalls;
};

} // namespace buckthornring
