#pragma once

#include "Gateway/BlockBody.h"
#include "Gateway/CallerSession.h"
#include "IO/HttpWire.h"
#include "IO/MessageParser.h"
#include "IO/PeerWatch.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <deque>

namespace buckthornring {

/// Time within which a caller has to read a part of a response.
inline constexpr Duration CallerWriteTimeout = std::chrono::seconds(5);

/// Time within which a write to a caller has to complete. Bounds the time for
/// which slow readers occupy memory.
inline constexpr Duration MaxCallerWriteTime = std::chrono::seconds(60);

/// A caller's connection counts as dead after this time without
/// acknowledgements.
inline constexpr Duration CallerSilenceTimeout = std::chrono::seconds(5);

/// State of a caller's connection, for the parts of CallerSession's
/// implementation.
struct CallerSession::Connection {
  using Parser = MessageParser<true, BlockBody>;

  struct PendingResponse {
    std::uint64_t RequestNumber;
    bool HeadOnly;
    std::optional<CallerResponse> Response;
  };

  Connection(boost::asio::ip::tcp::socket Socket, CallerHandler &Handler,
             const RequestLimits &Limits, std::shared_ptr<MemoryBudget> Budget)
      : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
        WriteTimer(this->Socket.get_executor()),
        Watch(this->Socket, CallerSilenceTimeout), Handler(Handler),
        Limits(Limits), Budget(std::move(Budget)), Charge(this->Budget),
        Buffer(std::max(MaxUnparsedBytes, 2 * std::size_t{Limits.HeadBytes})) {}

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer WriteTimer;
  PeerWatch Watch;
  CallerHandler &Handler;
  RequestLimits Limits;
  std::shared_ptr<MemoryBudget> Budget;
  MemoryCharge Charge; ///< What is held beside the blocks.
  boost::asio::cancellation_signal ReadCancellation;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> RequestParser;
  std::uint64_t TimerGeneration = 0;
  RequestHead Head;
  TimePoint HeadReceivedAt;
  std::deque<PendingResponse> PendingResponses;
  BlockBuffer Output;
  std::size_t WrittenBefore = 0; ///< Bytes of all earlier responses.
  std::size_t WrittenBytes = 0;  ///< Of the output, as far as the system took
                                 ///< them.
  TimePoint WriteStartedAt = LongAgo;
  TimePoint IdleSince = LongAgo;  ///< Valid while it is without a request.
  TimePoint ProgressAt = LongAgo; ///< When its caller last sent or read much.
  std::size_t ProgressBytes = 0;  ///< Sent or read since.
  TimePoint PausedAt = LongAgo;   ///< Valid while Paused.
  std::uint64_t LastRequestNumber = 0;
  bool Reading = false;
  bool ReadingBody = false; ///< Rather than a head. Valid while Reading.
  bool InputParsed = false; ///< What is in the buffer needs more input.
  bool Paused = false;      ///< Reading, but waits for memory instead of input.
  unsigned TimeoutStatus = 0;
  bool TimedOut = false;
  bool Idle = false; ///< The timer counts the time without a request.
  bool TimerExtended = false;
  bool Writing = false;
  bool Draining = false;
  /// The last request has been read: none is read after it, and the connection
  /// is closed after its response.
  bool LastRequestRead = false;
  bool Ended = false;
  SessionEnding Ending;
  /// Input has arrived since the last check of the linger time.
  bool InputDiscarded = false;
  TimePoint LingerUntil = LongAgo;
  std::size_t LingerAcknowledged = 0; ///< acknowledgedBytes() of that check.
};

} // namespace buckthornring
