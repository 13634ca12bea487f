#pragma once

#include "IO/MessageHead.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace buckthornring {

/// How an exchange with a target ended.
enum class ExchangeResult {
  Answered,  ///< A complete answer with the right request id.
  Lost,      ///< The connection ended before the answer was complete.
  Malformed, ///< The target sent something that is no answer.
};

inline constexpr EnumNames<ExchangeResult, 3>
    ExchangeEndNames({"answered", "lost", "malformed"});

struct TargetResponse {
  unsigned Status = 0;
  HttpHeaders Fields;
  std::string Body;
};

/// One HTTP/1.1 connection to a target. Carries one exchange at a time and
/// reads each answer as a whole. All calls come from the thread of the
/// executor; handlers run there too, never after close().
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
  using ConnectHandler = std::function<void(bool)>;
  using AnswerHandler = std::function<void(ExchangeResult, TargetResponse)>;

  explicit TargetConnection(const boost::asio::any_io_executor &Executor);
  ~TargetConnection();
  TargetConnection(const TargetConnection &) = delete;
  auto operator=(const TargetConnection &) -> TargetConnection & = delete;

  auto connect(const boost::asio::ip::tcp::endpoint &Peer, Duration Limit,
               ConnectHandler Done) -> void;

  /// Sends \p Wire and reads the answer. When \p IdField is not empty, answers
  /// whose field of that name differs from \p Id are skipped: a target may send
  /// a second answer to an earlier request.
  auto exchange(std::string Wire, std::string IdField, std::string Id,
                bool HeadOnly, AnswerHandler Done) -> void;

  /// Whether another exchange may follow.
  auto reusable() const -> bool;
  /// Whether the peer closed the idle connection or sent bytes that belong to
  /// no request.
  auto brokenWhileIdle() const -> bool;
  /// Time of idleness after which the target closes the connection, as told by
  /// the target; zero: not told.
  auto idleLimit() const -> Duration;

  /// Resets the connection, so that bytes on their way are dropped.
  auto close() -> void;

  TimePoint IdleSince = LongAgo; ///< Kept by the pool.

private:
  struct State;
  std::unique_ptr<State> Io;

  auto readAnswer() -> void;
  auto gotAnswer() -> void;
  auto finish(ExchangeResult End) -> void;
};

} // namespace buckthornring
