#pragma once

#include "Gateway/CallerSession.h"

#include <cstdint>
#include <memory>

namespace buckthornring::test {

/// Counts the callbacks of a session. Requests are answered by the tests.
class CountingHandler : public CallerHandler {
public:
  auto onRequest(const std::shared_ptr<CallerSession> &, std::uint64_t Number,
                 CallerRequest) -> void override {
    ++Received;
    LastNumber = Number;
  }
  auto onCallerDisconnected(const CallerSession &, std::uint64_t)
      -> void override {
    ++Disconnected;
  }
  auto makeErrorResponse(unsigned Status) -> CallerResponse override {
    CallerResponse Response;
    Response.Status = Status;
    return Response;
  }
  auto onSessionEnded(const std::shared_ptr<CallerSession> &Session)
      -> void override {
    ++Ended;
    Ending = Session->ending();
  }
  auto onSocketClosed() -> void override {}

  int Received = 0;
  std::uint64_t LastNumber = 0;
  int Disconnected = 0;
  int Ended = 0;
  SessionEnding Ending; ///< Of the session that ended last.
};

} // namespace buckthornring::test
