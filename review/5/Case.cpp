// A router gets SIGTERM. Clients that send further safe requests before earlier
// ones have been answered keep using their connections.

#include "../standins/Standins.h"

#include <atomic>
#include <csignal>
#include <deque>
#include <set>
#include <sys/wait.h>
#include <thread>

using namespace review;

namespace {

constexpr int Clients = 6;
/// Requests of a client that are unanswered at a time.
constexpr std::size_t Depth = 2;
constexpr double WorkSeconds = 0.4;
constexpr double StopAfter = 2;
constexpr double GraceSeconds = 6;
/// Requests that were sent no later than this after the SIGTERM may be broken
/// off in the last sixth of the grace period.
constexpr double ExcusedSeconds = 3;

struct Sent {
  std::string Id;
  double At;
};

struct Totals {
  std::atomic<int> Answered{0};
  std::atomic<int> Lost{0};    ///< Passed on, no answer of the back end.
  std::atomic<int> Excused{0}; ///< The same, but excused by the rule.
  std::atomic<int> NotRead{0}; ///< Behind an answer that closes.
};

std::mutex RunLock;
std::set<std::string> Begun; ///< Ids of the requests at which work has begun.

auto wasPassedOn(const std::string &Id) -> bool {
  const std::lock_guard Guard(RunLock);
  return Begun.contains(Id);
}

/// Sends requests until the connection ends.
auto playClient(const Router &Instance, Record &Log, Totals &Counts,
                const std::atomic<double> &StoppedAt, double Until) -> void {
  const auto Connection = Stream::connect(Instance.front(), {0, 0, 10});
  std::deque<Sent> Open;
  bool Closes = false;
  while (Connection && !Closes) {
    while (Open.size() < Depth && elapsed() < Until) {
      ClientRequest Request;
      Request.Path = "/times/2f";
      Request.Id = newId();
      Request.DeadlineMs = 2500;
      if (!Connection->send(Request.text()))
        break;
      Open.push_back({Request.Id, elapsed()});
      // The requests of a client are spread over the time of one.
      sleepFor(WorkSeconds / static_cast<double>(Depth));
    }
    if (Open.empty())
      return;
    const auto Got = Connection->readAnswer();
    const bool Whole = Got.Kind == End::Length;
    const bool OfBackend =
        Whole && !Got.Content.field("Response-Signature").empty();
    const Sent First = Open.front();
    Log.line("answer " + First.Id + ": " +
             (Whole ? "status " + std::to_string(Got.Status)
                    : std::string(endName(Got.Kind))) +
             (OfBackend ? "" : ", not of the back end") +
             (Got.Closes ? ", closes" : ""));
    const auto Judge = [&](const Sent &Each) {
      if (!wasPassedOn(Each.Id)) {
        ++Counts.NotRead;
        return;
      }
      const bool Excused = Each.At - StoppedAt <= ExcusedSeconds;
      ++(Excused ? Counts.Excused : Counts.Lost);
      Log.line((Excused ? "excused " : "lost ") + Each.Id + ", sent " +
               std::to_string(Each.At - StoppedAt) + " s after the SIGTERM");
    };
    if (!Whole) {
      for (const Sent &Each : Open)
        Judge(Each);
      return;
    }
    Open.pop_front();
    Closes = Got.Closes;
    if (OfBackend)
      ++Counts.Answered;
    else // An own answer in place of the back end's.
      Judge(First);
  }
  // They were sent behind an answer that closes the connection, so they count
  // as not read.
  Counts.NotRead += static_cast<int>(Open.size());
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  Record Log(Count > 1 ? Arguments[1] : "record.txt");
  const std::string Folder = temporaryFolder();
  Store Platform;
  const auto Answer = [](Stream &Connection, const Message &Request) {
    {
      const std::lock_guard Guard(RunLock);
      Begun.insert(Request.field("Attempt-Id"));
    }
    sleepFor(WorkSeconds);
    const std::string Body = "lesson schedule";
    return Connection.send(answerHead(Request, Body.size()) + Body);
  };
  std::vector<std::unique_ptr<Backend>> Backends;
  std::vector<Backend *> All;
  for (const char *Id : {"i-t1", "i-t2", "i-t3", "i-t4", "i-t5", "i-t6"}) {
    Backends.push_back(std::make_unique<Backend>(
        Platform, Log, Backend::Options{Id, "timetable"}, Answer));
    All.push_back(Backends.back().get());
  }
  startBeats(All);
  putConfiguration(Platform, {{"/times/", "timetable", "safe", 1.2}});
  Router Instance(Platform, "edge-kingston-1", "127.0.0.1", Folder);
  Instance.start();
  if (!Instance.awaitReady(15))
    finish(Log, 2, "the router did not become ready");
  sleepFor(4);

  Totals Counts;
  std::atomic<double> StoppedAt{1e9};
  const double Begin = elapsed();
  const double Until = Begin + StopAfter + GraceSeconds + 1;
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (int Index = 0; Index < Clients; ++Index)
    Threads.emplace_back(
        [&] { playClient(Instance, Log, Counts, StoppedAt, Until); });
  sleepFor(StopAfter);
  if (withTrouble()) {
    StoppedAt = elapsed();
    Log.line("SIGTERM to the router");
    Instance.signal(SIGTERM);
    while (elapsed() < StoppedAt + GraceSeconds && !Instance.ended())
      sleepFor(0.02);
    Log.line("the router has ended, or gets SIGKILL");
    Instance.signal(SIGKILL);
  }
  for (std::thread &Each : Threads)
    Each.join();
  const std::string Text = std::to_string(Counts.Answered) + " answered, " +
                           std::to_string(Counts.Lost) +
                           " passed on and broken off, " +
                           std::to_string(Counts.Excused) + " excused, " +
                           std::to_string(Counts.NotRead) + " not read";
  if (Counts.Answered < Clients || (!withTrouble() && Counts.Excused > 0))
    finish(Log, 2, "too few requests were served: " + Text);
  finish(Log, Counts.Lost > 0 ? 1 : 0, Text);
}
