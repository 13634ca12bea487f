#include "Traffic.h"

#include "Fleet.h"

namespace buckthornring::test {

Traffic::Traffic(std::size_t Callers, RequestFactory MakeRequest,
                 std::chrono::milliseconds Pause)
    : MakeRequest(std::move(MakeRequest)), Pause(Pause) {
  Threads.reserve(Callers);
  for (std::size_t Index = 0; Index < Callers; ++Index)
    Threads.emplace_back([this] { run(); });
}

Traffic::~Traffic() { stop(); }

auto Traffic::run() -> void {
  Caller Client;
  while (!Stopping) {
    auto [Address, Request] = MakeRequest(NextNumber++);
    RequestRecord Entry;
    Entry.Path = Request.Target;
    Entry.Outcome = Client.send(Address, std::move(Request));
    Succeeded += Entry.Outcome.Response.Status == 200 ? 1U : 0U;
    ++Completed;
    {
      const std::lock_guard Guard(Lock);
      Log.push_back(std::move(Entry));
    }
    std::this_thread::sleep_for(Pause);
  }
}

auto Traffic::stop() -> std::vector<RequestRecord> {
  Stopping = true;
  for (auto &Thread : Threads)
    Thread.join();
  Threads.clear();
  return std::move(Log);
}

auto summary(const std::vector<RequestRecord> &Log) -> std::string {
  std::map<std::string, std::size_t> Counts;
  for (const auto &Entry : Log) {
    const auto &Outcome = Entry.Outcome;
    if (!Outcome.done())
      ++Counts[std::string(HttpPhaseNames.name(Outcome.Phase)) + ": " +
               Outcome.Reason];
    else if (Outcome.Response.Status == 200)
      ++Counts["200"];
    else
      ++Counts[std::to_string(Outcome.Response.Status) + ' ' +
               headerOf(Outcome, "Btr-Refusal") + ' ' +
               headerOf(Outcome, "Btr-Run")];
  }
  std::string Text;
  for (const auto &[Label, Count] : Counts)
    Text += (Text.empty() ? "" : ", ") + Label + " x" + std::to_string(Count);
  return Text;
}

} // namespace buckthornring::test
