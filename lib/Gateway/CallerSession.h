#pragma once

#include "IO/MessageHead.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/Configuration.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace buckthornring {

/// A caller's complete request.
struct CallerRequest {
  RequestHead Head;
  std::string Body;
  TimePoint ReceivedAt; ///< When its head was complete, on the boot clock.
};

/// A complete answer. Framing and Connection fields are added when it is sent.
struct CallerAnswer {
  unsigned Status = 0;
  HttpHeaders Fields;
  std::string Body;
  /// End the connection without an answer instead.
  bool Abort = false;
};

class CallerSession;

/// Takes the requests of all sessions. Runs on the sessions' thread.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;

  /// A request arrived; it is answered by CallerSession::answer with \p Number.
  virtual auto received(const std::shared_ptr<CallerSession> &Session,
                        std::uint64_t Number, CallerRequest Request)
      -> void = 0;
  /// The caller left before the request was answered.
  virtual auto callerLeft(const CallerSession &Session, std::uint64_t Number)
      -> void = 0;
  /// Builds the answer to a request that cannot be read.
  virtual auto unreadable(unsigned Status) -> CallerAnswer = 0;
  virtual auto sessionEnded(const std::shared_ptr<CallerSession> &Session)
      -> void = 0;
};

/// One caller's HTTP/1.1 connection. Reads further requests while earlier ones
/// are being answered, and sends the answers in the order of the requests.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, CallerHandler &Handler,
                const RequestLimits &Limits);
  ~CallerSession();
  CallerSession(const CallerSession &) = delete;
  auto operator=(const CallerSession &) -> CallerSession & = delete;

  auto start() -> void;

  /// Answers a request. Ignored once the connection has ended.
  auto answer(std::uint64_t Number, CallerAnswer Answer) -> void;

  /// Lets the answers under way go out, announcing the close with the last
  /// one. An idle connection is closed at once when \p CloseIdle is set.
  auto drain(bool CloseIdle) -> void;

private:
  struct State;
  std::unique_ptr<State> Io;

  auto readHead() -> void;
  auto gotHead() -> void;
  auto readBody() -> void;
  auto gotRequest() -> void;
  /// Notices a caller that leaves after the last request that is read.
  auto watchForLeaving() -> void;
  auto failRead(unsigned Status) -> void;
  auto armTimer(Duration Limit) -> void;
  auto disarmTimer() -> void;
  auto flush() -> void;
  auto written(bool Close) -> void;
  auto left() -> void;
  auto close(bool Reset) -> void;
};

} // namespace buckthornring
