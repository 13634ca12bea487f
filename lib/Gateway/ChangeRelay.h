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

/// Passes on what this instance's feeds have read from the store to the
/// instances of its data centre, which then need no watches of their own.
///
/// Answers GET /changes?kind=K[&since=REVISION&wait_ms=N] from the feed of the
/// kind: all objects, or those changed after a revision as soon as there are
/// any. Status 410: that history is not kept; 503: this instance has no recent
/// proof that it reaches the store.
class ChangeRelay {
public:
  static constexpr const char *Path = "/changes";

  /// \p Proof is the feed whose answers prove contact with the store.
  ChangeRelay(boost::asio::io_context &Io, const StoreFeed &Proof)
      : Io(Io), Proof(Proof) {}

  auto add(const std::string &Kind, const StoreFeed &Feed) -> void {
    Feeds[Kind] = &Feed;
  }

  auto answer(const HttpRequest &Request, const HttpResponder &To) -> void;
  /// The feed of the kind has new objects.
  auto advanced(const std::string &Kind) -> void;
  /// Contact with the store was lost: all waiting calls are told so.
  auto contactLost() -> void;

private:
  struct Waiting {
    Waiting(boost::asio::io_context &Io, std::string Kind, std::uint64_t Since,
            const HttpResponder &To)
        : Timer(Io), Kind(std::move(Kind)), Since(Since), To(To) {}

    boost::asio::steady_timer Timer;
    std::string Kind;
    std::uint64_t Since;
    HttpResponder To;
  };

  /// Whether the store was reached recently.
  auto current() const -> bool;
  auto respond(const std::string &Kind, std::optional<std::uint64_t> Since,
               const HttpResponder &To) const -> void;

  boost::asio::io_context &Io;
  const StoreFeed &Proof;
  std::map<std::string, const StoreFeed *> Feeds;
  std::list<std::shared_ptr<Waiting>> Calls;
};

} // namespace buckthornring
