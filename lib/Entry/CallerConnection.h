#pragma once

#include "IO/CallerStream.h"

#include <memory>

namespace buckthornring {

class RequestExchange;
class TrafficThread;

/// What becomes of a caller's connection after a request.
enum class AfterRequest { KeepOpen, CloseGracefully, Abort };

/// One caller's connection: serves its requests one after another.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(TrafficThread &Thread, boost::asio::ip::tcp::socket Socket);
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  auto operator=(const CallerConnection &) -> CallerConnection & = delete;

  auto start() -> void;
  auto snapshotChanged() -> void;
  /// Lets a running request finish. An idle connection may still be used for a
  /// short time, so that a request already under way is not lost.
  auto shutDown() -> void;

private:
  auto readRequest() -> void;
  auto gotHead(ReadOutcome Outcome) -> void;
  auto refuseUnreadable(ReadOutcome Outcome) -> void;
  auto requestEnded(AfterRequest Next) -> void;
  auto end(AfterRequest How) -> void;

  TrafficThread &Thread;
  std::shared_ptr<CallerStream> Stream;
  std::shared_ptr<RequestExchange> Current;
  bool Ended = false;
};

} // namespace buckthornring
