// Clients upload bodies that are within max_body_bytes at the same time. The
// platform ends a process whose memory exceeds memory_mb.

#include "../standins/Standins.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t BodySize = 60'000'000; ///< max_body_bytes is 67108864.
constexpr int UsualUploads = 2;
constexpr int BurstUploads = 3; ///< 1.7 times as many, rounded down.
constexpr double MemoryMb = 260;
constexpr int Clients = 8;
constexpr double WorkSeconds = 0.4;
constexpr double PlaySeconds = 6;
constexpr int AllowedLosses = 3;

struct Totals {
  std::atomic<int> Served{0};
  std::atomic<int> Lost{0};
  std::atomic<int> Uploaded{0};
};

auto playClient(const Router &Instance, Record &Log, Totals &Counts,
                double Until) -> void {
  const auto Connection = Stream::connect(Instance.front(), {0, 0, 8});
  while (Connection && elapsed() < Until) {
    ClientRequest Request;
    Request.Path = "/times/2f";
    Request.Id = newId();
    if (!Connection->send(Request.text()))
      return;
    const auto Got = Connection->readAnswer();
    if (Got.Kind != End::Length) {
      ++Counts.Lost;
      Log.line("lost " + Request.Id +
               " on a kept connection: " + endName(Got.Kind));
      return;
    }
    Counts.Served += Got.Status == 200 ? 1 : 0;
  }
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  Record Log(Count > 1 ? Arguments[1] : "record.txt");
  const std::string Folder = temporaryFolder();
  Store Platform;
  const auto Answer = [](Stream &Connection, const Message &Request) {
    sleepFor(WorkSeconds);
    const std::string Body = "done";
    return Connection.send(answerHead(Request, Body.size()) + Body);
  };
  std::vector<std::unique_ptr<Backend>> Backends;
  std::vector<Backend *> All;
  for (const auto &[Id, Service] :
       std::vector<std::pair<std::string, std::string>>{
           {"i-t1", "timetable"},
           {"i-t2", "timetable"},
           {"i-t3", "timetable"},
           {"i-c1", "commander"},
           {"i-c2", "commander"},
           {"i-c3", "commander"},
           {"i-c4", "commander"}}) {
    Backends.push_back(std::make_unique<Backend>(
        Platform, Log, Backend::Options{Id, Service}, Answer));
    All.push_back(Backends.back().get());
  }
  startBeats(All);
  putConfiguration(Platform, {{"/times/", "timetable", "safe", 1.2},
                              {"/commands/", "commander", "unsafe", 4.5}});
  Router Instance(Platform, "edge-kingston-1", "127.0.0.1", Folder);
  Instance.start();
  if (!Instance.awaitReady(15))
    finish(Log, 2, "the router did not become ready");
  sleepFor(3);
  Totals Counts;
  const double Until = elapsed() + PlaySeconds;
  std::vector<std::thread> Threads;
  Threads.reserve(Clients + BurstUploads);
  for (int Index = 0; Index < Clients; ++Index)
    Threads.emplace_back([&] { playClient(Instance, Log, Counts, Until); });
  sleepFor(1.5);
  const int Uploads = withTrouble() ? BurstUploads : UsualUploads;
  for (int Index = 0; Index < Uploads; ++Index)
    Threads.emplace_back([&] {
      ClientRequest Request;
      Request.Method = "POST";
      Request.Path = "/commands/2f";
      Request.Id = newId();
      Request.Body.assign(BodySize, 'c');
      const auto Connection = Stream::connect(Instance.front(), {0, 0, 8});
      Log.line("upload " + Request.Id);
      if (!Connection || !Connection->send(Request.text())) {
        Log.line("upload " + Request.Id + " broke off");
        return;
      }
      const auto Got = Connection->readAnswer();
      Counts.Uploaded += Got.Status == 200 ? 1 : 0;
      Log.line("answer " + Request.Id + ": status " +
               std::to_string(Got.Status) + ", " + endName(Got.Kind));
    });
  double Peak = 0;
  bool Ended = false;
  while (elapsed() < Until) {
    const double Now = Instance.memoryMb();
    Peak = std::max(Peak, Now);
    if (Now > MemoryMb && !Ended) {
      Ended = true;
      Log.line("the platform ends the process, which uses " +
               std::to_string(Now) + " MB");
      Instance.signal(SIGKILL);
    }
    sleepFor(0.002);
  }
  for (std::thread &Each : Threads)
    Each.join();
  const std::string Text =
      "peak " + std::to_string(Peak) + " MB, " + std::to_string(Counts.Served) +
      " served, " + std::to_string(Counts.Uploaded) + " uploaded, " +
      std::to_string(Counts.Lost) + " lost on kept connections";
  if (Counts.Served < Clients)
    finish(Log, 2, "too few requests were served: " + Text);
  finish(Log, Ended && Counts.Lost > AllowedLosses ? 1 : 0, Text);
}
