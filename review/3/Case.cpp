// A back end that leaves spoils its answer to the release of its keys: the
// value of the Handover field holds other bytes. Clients keep using their
// connections to both routers meanwhile.

#include "../standins/Standins.h"

#include <atomic>
#include <csignal>
#include <sys/wait.h>
#include <thread>

using namespace review;

namespace {

constexpr int ClientsOfEach = 10;
constexpr double WorkSeconds = 0.4;
constexpr double DrainAfter = 3;
constexpr double PlaySeconds = 8;
/// More requests than this may not lose their connections (rule LOST).
constexpr int AllowedLosses = 3;
/// Time in which the platform starts a process again.
constexpr double RestartDelay = 0.5;

struct Totals {
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
  std::atomic<int> Refused{0};
  std::atomic<int> Lost{0}; ///< On a connection that had served before.
};

/// Sends one request after another on a kept connection.
auto playClient(const Router &Instance, Record &Log, Totals &Counts,
                double Until) -> void {
  while (elapsed() < Until) {
    const auto Connection = Stream::connect(Instance.front(), {0, 0, 5});
    bool Kept = false;
    while (Connection && elapsed() < Until) {
      ClientRequest Request;
      Request.Path = "/times/2f";
      Request.Id = newId();
      if (!Connection->send(Request.text()))
        break;
      ++Counts.Sent;
      const auto Got = Connection->readAnswer();
      if (Got.Kind != End::Length) {
        Counts.Lost += Kept ? 1 : 0;
        Log.line("lost " + Request.Id + " at " + Instance.name() +
                 (Kept ? " on a kept connection" : "") + ": " +
                 endName(Got.Kind));
        break;
      }
      ++(Got.Status == 200 ? Counts.Served : Counts.Refused);
      Kept = Kept || Got.Status == 200;
      if (Got.Closes)
        break;
    }
    if (!Connection)
      sleepFor(0.05);
  }
}

auto endText(int Status) -> std::string {
  return WIFSIGNALED(Status)
             ? "signal " + std::to_string(WTERMSIG(Status))
             : "exit status " + std::to_string(WEXITSTATUS(Status));
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  Record Log(Count > 1 ? Arguments[1] : "record.txt");
  const std::string Folder = temporaryFolder();
  Store Platform;
  const auto Answer = [](Stream &Connection, const Message &Request) {
    sleepFor(WorkSeconds);
    const std::string Body = "lesson schedule";
    return Connection.send(answerHead(Request, Body.size()) + Body);
  };
  // A sound back end names its hand-over by hexadecimal digits.
  const auto Spoiled = [&Log]() -> std::string {
    if (!withTrouble())
      return "5c0e7a21d94b36f8";
    Log.line("the answer to the release is spoiled");
    return "\x9c\xf3"
           "5c0e\xff\xfe\xd9";
  };
  std::vector<std::unique_ptr<Backend>> Backends;
  std::vector<Backend *> All;
  const auto Add = [&](Backend::Options Wanted) {
    Backends.push_back(
        std::make_unique<Backend>(Platform, Log, std::move(Wanted), Answer));
    All.push_back(Backends.back().get());
  };
  for (const char *Id : {"i-t1", "i-t2", "i-t3", "i-t4", "i-t5", "i-t6"})
    Add({Id, "timetable"});
  for (const char *Id : {"i-m1", "i-m2", "i-m3"}) {
    Backend::Options Wanted{Id, "mediavault"};
    Wanted.Sharded = true;
    Wanted.Handover = Spoiled;
    Add(std::move(Wanted));
  }
  Backend &Leaving = *All.back();
  startBeats(All);
  putConfiguration(Platform, {{"/times/", "timetable", "safe", 1.2},
                              {"/media/", "mediavault", "safe", 2.5, true}});
  Router First(Platform, "edge-kingston-1", "127.0.0.1", Folder);
  Router Second(Platform, "edge-kingston-2", "127.0.0.1", Folder);
  First.start();
  Second.start();
  if (!First.awaitReady(15) || !Second.awaitReady(15))
    finish(Log, 2, "a router did not become ready");
  // By now a leader has granted all keys.
  sleepFor(5);

  Totals Counts;
  const double Begin = elapsed();
  std::vector<std::thread> Threads;
  for (Router *Each : {&First, &Second})
    for (int Index = 0; Index < ClientsOfEach; ++Index)
      Threads.emplace_back(
          [&, Each] { playClient(*Each, Log, Counts, Begin + PlaySeconds); });
  std::thread([&] {
    sleepFor(DrainAfter);
    Leaving.drain();
  }).detach();
  int Ends = 0;
  while (elapsed() < Begin + PlaySeconds) {
    for (Router *Each : {&First, &Second})
      if (const auto Status = Each->ended()) {
        ++Ends;
        Log.line("process of " + Each->name() +
                 " ended by itself: " + endText(*Status));
        sleepFor(RestartDelay);
        Each->start();
      }
    sleepFor(0.02);
  }
  for (std::thread &Each : Threads)
    Each.join();
  const std::string Text =
      std::to_string(Ends) + " processes ended by themselves; " +
      std::to_string(Counts.Sent) + " requests sent, " +
      std::to_string(Counts.Served) + " served, " +
      std::to_string(Counts.Refused) + " refused, " +
      std::to_string(Counts.Lost) + " lost on kept connections";
  if (Counts.Served < 100)
    finish(Log, 2, "too few requests were served: " + Text);
  finish(Log, Counts.Lost > AllowedLosses ? 1 : 0, Text);
}
