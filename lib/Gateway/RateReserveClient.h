#pragma once

#include "Fleet/FleetMessage.h"
#include "Fleet/RateShares.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace buckthornring {

/// Asks the leader's reserve for requests that this instance's parts of the
/// workspace rates do not have. One question per workspace is under way.
class RateQuestions {
public:
  /// Sends a question to the leader; false when there is none. The answer is
  /// given to gotAnswer(), at once or later.
  using Sender = std::function<bool(const RateQuestion &)>;

  RateQuestions(boost::asio::io_context &Context, RateShares &Rates,
                Sender Send)
      : Context(Context), Rates(Rates), Send(std::move(Send)) {}

  /// \p Done gets whether one request of the workspace may run; called at once,
  /// or within the time of an answer.
  auto ask(const WorkspaceId &Workspace, std::function<void(bool)> Done)
      -> void;
  auto gotAnswer(const RateAnswer &Answer) -> void;

private:
  /// A question under way and the requests that wait for its answer.
  struct Question {
    Question(boost::asio::io_context &Context, std::uint64_t Number)
        : Timer(Context), Number(Number) {}

    boost::asio::steady_timer Timer;
    std::uint64_t Number;
    std::vector<std::function<void(bool)>> Waiting;
  };

  auto timedOut(const WorkspaceId &Workspace, std::uint64_t Number) -> void;
  auto end(const WorkspaceId &Workspace, std::uint32_t Granted) -> void;
  auto takeWaiting(const WorkspaceId &Workspace)
      -> std::vector<std::function<void(bool)>>;

  boost::asio::io_context &Context;
  RateShares &Rates;
  Sender Send;
  std::map<WorkspaceId, Question> Questions;
  std::uint64_t LastNumber = 0;
  /// Questions whose answers may still come.
  std::set<std::uint64_t> Unanswered;
};

} // namespace buckthornring
