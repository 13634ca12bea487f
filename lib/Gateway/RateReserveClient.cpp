#include "Gateway/RateReserveClient.h"

#include "IO/BootClock.h"

namespace buckthornring {

namespace {

/// Requests asked for at once. Those that an instance does not use soon are
/// lost to the workspace, and most instances need one at a time.
constexpr std::uint32_t WantedAtOnce = 1;

/// Time for the leader's answer. It takes a few milliseconds, but an instance
/// that has used up its share of the processor stands still for up to 100 ms.
constexpr Duration AnswerLimit = std::chrono::milliseconds(100);

/// Questions without an answer that are remembered; beyond them the oldest
/// answers were surely lost.
constexpr std::size_t MaxUnanswered = 64;

/// Time after an empty reserve in which it is not asked again.
constexpr Duration EmptyPause = std::chrono::milliseconds(150);

} // namespace

auto RateQuestions::ask(const WorkspaceId &Workspace,
                        std::function<void(bool)> Done) -> void {
  if (!Rates.mayAsk(Workspace, bootNow()))
    return Done(false);
  const auto Running = Questions.find(Workspace);
  if (Running != Questions.end()) {
    Running->second.Waiting.push_back(std::move(Done));
    return;
  }
  const std::uint64_t Number = ++LastNumber;
  Question &Asked =
      Questions.try_emplace(Workspace, Context, Number).first->second;
  Asked.Waiting.push_back(std::move(Done));
  Asked.Timer.expires_after(AnswerLimit);
  Asked.Timer.async_wait(
      [this, Workspace, Number](const boost::system::error_code &Cancelled) {
        if (!Cancelled)
          timedOut(Workspace, Number);
      });
  if (Send({Workspace, WantedAtOnce, Number}))
    return;
  for (const auto &Each : takeWaiting(Workspace))
    Each(false);
}

auto RateQuestions::timedOut(const WorkspaceId &Workspace, std::uint64_t Number)
    -> void {
  const auto Asked = Questions.find(Workspace);
  // The answer may have come while this call was already queued.
  if (Asked == Questions.end() || Asked->second.Number != Number)
    return;
  Unanswered.insert(Number);
  if (Unanswered.size() > MaxUnanswered)
    Unanswered.erase(Unanswered.begin());
  end(Workspace, 0);
}

auto RateQuestions::gotAnswer(const RateAnswer &Answer) -> void {
  const auto Asked = Questions.find(Answer.Workspace);
  if (Asked != Questions.end() && Asked->second.Number == Answer.Number)
    return end(Answer.Workspace, Answer.Granted);
  // A late answer's requests are there for the next ones, once.
  if (Unanswered.erase(Answer.Number) > 0)
    Rates.topUp(Answer.Workspace, Answer.Granted, bootNow());
}

auto RateQuestions::takeWaiting(const WorkspaceId &Workspace)
    -> std::vector<std::function<void(bool)>> {
  const auto Asked = Questions.find(Workspace);
  auto Waiting = std::move(Asked->second.Waiting);
  Questions.erase(Asked);
  return Waiting;
}

auto RateQuestions::end(const WorkspaceId &Workspace, std::uint32_t Granted)
    -> void {
  const auto Waiting = takeWaiting(Workspace);
  const TimePoint Now = bootNow();
  if (Granted == 0)
    Rates.reserveEmpty(Workspace, Now + EmptyPause);
  Rates.topUp(Workspace, Granted, Now);
  for (const auto &Done : Waiting)
    if (Granted > 0 && Rates.spend(Workspace))
      Done(true);
    else
      // Those that came while the question was under way ask once more.
      ask(Workspace, Done);
}

} // namespace buckthornring
