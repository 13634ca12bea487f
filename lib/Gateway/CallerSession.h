#pragma once

#include "IO/MessageHead.h"
#include "Memory/BlockBuffer.h"
#include "Memory/MemoryBudget.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/Configuration.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace buckthornring {

/// A caller's complete request.
struct CallerRequest {
  RequestHead Head;
  std::shared_ptr<const BlockBuffer> Body; ///< Null if there is none.
  TimePoint ReceivedAt; ///< When the head was complete, by the boot clock.
};

/// A response. Framing and Connection header fields are added when it is sent.
struct CallerResponse {
  unsigned Status = 0;
  HttpHeaders Fields;
  BlockBuffer Body;
  /// The target ended the response by closing its connection, which does not
  /// show that it is complete. It is passed on without a length too, unless
  /// further requests of the connection wait for their responses.
  bool EndsWithClose = false;
  /// Reset the connection without sending a response.
  bool Abort = false;
};

/// Why a connection ended.
enum class SessionEnd {
  LastResponse, ///< The response that ends the connection was written.
  IdleTimeout,
  Drained, ///< An idle connection was closed by CallerSession::drain.
  CallerLeft,
  WriteTimeout,
  Aborted,     ///< CallerResponse::Abort.
  MemoryShort, ///< CallerSession::releaseMemory.
  Displaced,   ///< CallerSession::displace.
};

inline constexpr EnumNames<SessionEnd, 8>
    SessionEndNames({"last-response", "idle-timeout", "drained", "caller-left",
                     "write-timeout", "aborted", "memory-short", "displaced"});

/// What the end of a connection left undone.
struct SessionEnding {
  SessionEnd Cause = SessionEnd::LastResponse;
  std::size_t UnansweredRequests = 0; ///< Whose responses were not begun.
  bool ResponseCut = false;           ///< A response was being written.
  bool UnreadInput = false; ///< A further request had arrived, or a part of it.

  auto complete() const -> bool {
    return UnansweredRequests == 0 && !ResponseCut && !UnreadInput &&
           Cause != SessionEnd::Aborted;
  }
};

class CallerSession;

/// Handles the requests of all sessions. Called on the sessions' thread.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;

  /// A request was read. It is answered by calling CallerSession::respond with
  /// \p RequestNumber.
  virtual auto onRequest(const std::shared_ptr<CallerSession> &Session,
                         std::uint64_t RequestNumber, CallerRequest Request)
      -> void = 0;
  /// The caller disconnected before the request was answered.
  virtual auto onCallerDisconnected(const CallerSession &Session,
                                    std::uint64_t RequestNumber) -> void = 0;
  /// Builds the response to a request that cannot be read.
  virtual auto makeErrorResponse(unsigned Status) -> CallerResponse = 0;
  /// No further request is read or answered. The socket may stay open for the
  /// caller to read the last response.
  virtual auto onSessionEnded(const std::shared_ptr<CallerSession> &Session)
      -> void = 0;
  /// The socket of an ended session was closed.
  virtual auto onSocketClosed() -> void = 0;
};

/// One caller's HTTP/1.1 connection with pipelining: reads further requests
/// while earlier ones are in progress, and sends the responses in the order of
/// the requests.
///
/// Bodies of requests and responses are kept in blocks, which are freed as soon
/// as they have been sent.
class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      public MemoryHolder {
public:
  CallerSession(
      boost::asio::ip::tcp::socket Socket, CallerHandler &Handler,
      const RequestLimits &Limits,
      std::shared_ptr<MemoryBudget> Budget = std::make_shared<MemoryBudget>());
  ~CallerSession() override;
  CallerSession(const CallerSession &) = delete;
  auto operator=(const CallerSession &) -> CallerSession & = delete;

  /// Time for the caller to read the last response before the socket is closed.
  /// Until then input is discarded, since closing the socket with unread input
  /// would reset the connection (RFC 9112, section 9.6).
  static constexpr Duration LingerTimeout = std::chrono::milliseconds(500);

  auto start() -> void;

  /// Sends the response to a request. Ignored once the session has ended.
  auto respond(std::uint64_t RequestNumber, CallerResponse Response) -> void;

  /// Reads no request beyond those that are in progress, or beyond the next one
  /// if there are none, and closes the connection after the last response,
  /// which announces this with "Connection: close". With \p CloseIdle, an idle
  /// connection is closed at once, unless a request has arrived on it that was
  /// not read yet.
  auto drain(bool CloseIdle) -> void;

  /// Applies the limits of a new configuration, the idle limit to an idle
  /// connection too if it is longer, and all others from the next request on.
  auto setLimits(const RequestLimits &Limits) -> void;

  /// Time since when the connection has been without a request, or nothing if
  /// has read one, or a part of one.
  auto idleSince() const -> std::optional<TimePoint>;
  /// Closes a connection without a request, to have its descriptor for another
  /// one. Returns false if a request has arrived on it that was not read yet.
  auto displace() -> bool;

  auto memoryState(TimePoint Now) const -> State override;
  /// Refuses the request that is being received, which has not run. Closes the
  /// connection if it holds responses that its caller does not read.
  auto releaseMemory() -> void override;
  auto resumeReceiving() -> void override;

  /// Valid from CallerHandler::onSessionEnded.
  auto ending() const -> const SessionEnding &;

private:
  struct Connection;
  using DiscardedInput = std::array<char, 4096>;
  std::unique_ptr<Connection> Pimpl;

  auto readHead() -> void;
  auto onHeadReadEnded(const boost::system::error_code &Failure) -> void;
  auto onHeadRead() -> void;
  auto readBody() -> void;
  auto onBodyReadEnded(const boost::system::error_code &Failure) -> void;
  /// Parses what has arrived. Returns whether the head or the body, whichever
  /// is being read, has ended, or \p Failure.
  auto parseInput(boost::system::error_code &Failure) -> bool;
  /// Reads on until the head or the body has ended.
  auto readMore() -> void;
  auto onInput(boost::system::error_code Failure, std::size_t Count) -> void;
  auto endRead(const boost::system::error_code &Failure) -> void;
  auto nextReadSize() const -> std::size_t;
  auto recordProgress(std::size_t Bytes) -> void;
  /// Charges what is held beside the blocks, and \p Reserved bytes.
  auto updateCharge(std::size_t Reserved = 0) -> void;
  auto receivingBytes() const -> std::size_t;
  auto sendingBytes() const -> std::size_t;
  /// Called when a read has ended. Returns whether its result counts.
  auto continueReading(const boost::system::error_code &Failure) -> bool;
  auto cancelRead() -> void;
  auto onRequestRead() -> void;
  /// The request that was read last is the last one of the connection.
  /// Everything that ends the connection in order decides so here, before
  /// further requests are passed on.
  auto onLastRequestRead() -> void;
  /// Detects a disconnect of the caller after the last request that is read.
  auto watchForDisconnect() -> void;
  auto failRead(unsigned Status) -> void;
  /// Applies the limits to the request that is read next.
  auto limitParser() -> void;
  auto armTimer(Duration Timeout) -> void;
  auto armHeadTimer() -> void;
  auto onTimerExpired() -> void;
  auto disarmTimer() -> void;
  auto flush() -> void;
  /// Moves the responses that are due to the output. Returns whether the
  /// connection is closed after them.
  auto collectResponses(bool &EndsUnframed) -> bool;
  auto writeOutput(bool Close) -> void;
  auto onOutputWritten(bool Close) -> void;
  /// Bytes of all responses that the caller's system has received.
  auto acknowledgedBytes() -> std::size_t;
  /// Ends the connection when the caller reads nothing for WriteTimeout.
  /// \p Acknowledged: acknowledgedBytes() of the last check.
  auto armWriteTimer(std::size_t Acknowledged) -> void;
  /// Sets whether the system resets the connection when the socket is closed,
  /// also by the end of the process.
  auto setResetOnClose(bool Reset) -> void;
  auto onWritten(bool Close) -> void;
  auto onDisconnected() -> void;
  auto onCallerSilent() -> void;
  auto close(bool Reset, SessionEnd Cause) -> void;
  auto closeSocket() -> void;
  auto discardInput(const std::shared_ptr<DiscardedInput> &Input) -> void;
  /// Closes the socket after LingerTimeout, or later while the caller still
  /// reads the response, or sends requests and so has not read that it was the
  /// last one.
  auto closeAfterLinger() -> void;
};

} // namespace buckthornring
