#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

namespace {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

struct Plan {
  Tcp::endpoint Server;
  std::string Path;
  std::string Key;
  Clock::time_point End;
};

struct Outcome {
  std::vector<double> Milliseconds; ///< Of answers with status 200.
  std::size_t Failed = 0;
};

/// Sends one request after another on one connection until the end.
auto runCaller(const Plan &Of) -> Outcome {
  Outcome Result;
  boost::asio::io_context Io;
  Tcp::socket Socket(Io);
  boost::system::error_code Failure;
  Socket.connect(Of.Server, Failure);
  Socket.set_option(Tcp::no_delay(true), Failure);
  boost::beast::flat_buffer Buffer;
  http::request<http::empty_body> Request(http::verb::get, Of.Path, 11);
  Request.set(http::field::host, "bench");
  Request.set("X-Caller-Key", Of.Key);
  while (Clock::now() < Of.End) {
    const auto Begun = Clock::now();
    http::response<http::string_body> Answer;
    http::write(Socket, Request, Failure);
    if (!Failure)
      http::read(Socket, Buffer, Answer, Failure);
    const std::chrono::duration<double, std::milli> Took = Clock::now() - Begun;
    if (!Failure && Answer.result_int() == 200)
      Result.Milliseconds.push_back(Took.count());
    else
      ++Result.Failed;
    if (Failure)
      break;
  }
  return Result;
}

/// CPU time of a process in seconds, from /proc (clock ticks, user and system).
auto cpuSeconds(int Process) -> double {
  std::ifstream File("/proc/" + std::to_string(Process) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(File)),
                   std::istreambuf_iterator<char>());
  const auto Name = Text.rfind(')');
  if (Name == std::string::npos)
    return 0;
  std::istringstream Fields(Text.substr(Name + 1));
  std::string Skipped;
  for (int Field = 3; Field < 14; ++Field)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

auto quantile(const std::vector<double> &Sorted, double Q) -> double {
  if (Sorted.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Q * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

auto run(const cxxopts::ParseResult &Parsed) -> int {
  const auto Seconds = Parsed["seconds"].as<unsigned>();
  const auto Process = Parsed["pid"].as<int>();
  const Plan Of = {{boost::asio::ip::address_v4::loopback(),
                    Parsed["port"].as<std::uint16_t>()},
                   Parsed["path"].as<std::string>(),
                   Parsed["key"].as<std::string>(),
                   Clock::now() + std::chrono::seconds(Seconds)};
  std::vector<Outcome> Outcomes(Parsed["callers"].as<unsigned>());
  const double CpuBefore = cpuSeconds(Process);
  std::vector<std::thread> Threads;
  Threads.reserve(Outcomes.size());
  for (Outcome &Each : Outcomes)
    Threads.emplace_back([&Each, &Of] { Each = runCaller(Of); });
  for (std::thread &Each : Threads)
    Each.join();
  const double Cpu = cpuSeconds(Process) - CpuBefore;
  std::vector<double> All;
  std::size_t Failed = 0;
  for (const Outcome &Each : Outcomes) {
    All.insert(All.end(), Each.Milliseconds.begin(), Each.Milliseconds.end());
    Failed += Each.Failed;
  }
  std::sort(All.begin(), All.end());
  const auto Count = static_cast<double>(All.size());
  std::printf("{\"answers\":%zu,\"failed\":%zu,\"per_second\":%.0f,"
              "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"cpu_us_per_answer\":%.1f}\n",
              All.size(), Failed, Count / Seconds, quantile(All, 0.5),
              quantile(All, 0.99), Count > 0 ? Cpu * 1e6 / Count : 0);
  return Failed == 0 ? 0 : 1;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  try {
    cxxopts::Options Options("bench_load", "Closed-loop HTTP load on loopback");
    auto Add = Options.add_options();
    Add("port", "Port on 127.0.0.1", cxxopts::value<std::uint16_t>());
    Add("path", "Request path",
        cxxopts::value<std::string>()->default_value("/"));
    Add("key", "Caller key", cxxopts::value<std::string>()->default_value(""));
    Add("callers", "Connections",
        cxxopts::value<unsigned>()->default_value("8"));
    Add("seconds", "Duration", cxxopts::value<unsigned>()->default_value("5"));
    Add("pid", "Process whose CPU time is read, 0: none",
        cxxopts::value<int>()->default_value("0"));
    return run(Options.parse(Count, Arguments));
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::fprintf(stderr, "bench_load: %s\n", Failure.what());
    return 2;
  }
}
