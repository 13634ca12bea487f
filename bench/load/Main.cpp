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

/// Load that every connection generates until \c End.
struct LoadOptions {
  Tcp::endpoint Server;
  std::string Path;
  std::string Key;
  Clock::time_point End;
};

struct ConnectionResult {
  std::vector<double> LatencyMilliseconds; ///< Of responses with status 200.
  std::size_t Failed = 0; ///< Requests without a response of status 200.
};

/// Sends requests one after another over one connection until \c End or until
/// the connection fails.
auto runConnection(const LoadOptions &Options) -> ConnectionResult {
  ConnectionResult Result;
  boost::asio::io_context Io;
  Tcp::socket Socket(Io);
  boost::system::error_code Failure;
  Socket.connect(Options.Server, Failure);
  Socket.set_option(Tcp::no_delay(true), Failure);
  boost::beast::flat_buffer Buffer;
  http::request<http::empty_body> Request(http::verb::get, Options.Path, 11);
  Request.set(http::field::host, "bench");
  Request.set("X-Caller-Key", Options.Key);
  while (Clock::now() < Options.End) {
    const auto SentAt = Clock::now();
    http::response<http::string_body> Response;
    http::write(Socket, Request, Failure);
    if (!Failure)
      http::read(Socket, Buffer, Response, Failure);
    const std::chrono::duration<double, std::milli> Elapsed =
        Clock::now() - SentAt;
    if (!Failure && Response.result_int() == 200)
      Result.LatencyMilliseconds.push_back(Elapsed.count());
    else
      ++Result.Failed;
    if (Failure)
      break;
  }
  return Result;
}

/// Returns the user and system CPU time of a process in seconds, read from
/// /proc/PID/stat, or 0 if it cannot be read.
auto cpuSeconds(int ProcessId) -> double {
  std::ifstream File("/proc/" + std::to_string(ProcessId) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(File)),
                   std::istreambuf_iterator<char>());
  const auto NameEnd = Text.rfind(')');
  if (NameEnd == std::string::npos)
    return 0;
  std::istringstream Fields(Text.substr(NameEnd + 1));
  std::string Skipped;
  for (int Field = 3; Field < 14; ++Field)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

auto quantile(const std::vector<double> &Sorted, double Quantile) -> double {
  if (Sorted.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      Quantile * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

auto run(const cxxopts::ParseResult &Parsed) -> int {
  const auto Seconds = Parsed["seconds"].as<unsigned>();
  const auto ProcessId = Parsed["pid"].as<int>();
  const LoadOptions Options = {{boost::asio::ip::address_v4::loopback(),
                                Parsed["port"].as<std::uint16_t>()},
                               Parsed["path"].as<std::string>(),
                               Parsed["key"].as<std::string>(),
                               Clock::now() + std::chrono::seconds(Seconds)};
  std::vector<ConnectionResult> Results(Parsed["callers"].as<unsigned>());
  const double CpuSecondsBefore = cpuSeconds(ProcessId);
  std::vector<std::thread> Threads;
  Threads.reserve(Results.size());
  for (ConnectionResult &Result : Results)
    Threads.emplace_back(
        [&Result, &Options] { Result = runConnection(Options); });
  for (std::thread &Thread : Threads)
    Thread.join();
  const double CpuSeconds = cpuSeconds(ProcessId) - CpuSecondsBefore;
  std::vector<double> Latencies;
  std::size_t Failed = 0;
  for (const ConnectionResult &Result : Results) {
    Latencies.insert(Latencies.end(), Result.LatencyMilliseconds.begin(),
                     Result.LatencyMilliseconds.end());
    Failed += Result.Failed;
  }
  std::sort(Latencies.begin(), Latencies.end());
  const auto Count = static_cast<double>(Latencies.size());
  std::printf("{\"answers\":%zu,\"failed\":%zu,\"per_second\":%.0f,"
              "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"cpu_us_per_answer\":%.1f}\n",
              Latencies.size(), Failed, Count / Seconds,
              quantile(Latencies, 0.5), quantile(Latencies, 0.99),
              Count > 0 ? CpuSeconds * 1e6 / Count : 0);
  return Failed == 0 ? 0 : 1;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  try {
    cxxopts::Options Options("bench_load",
                             "Closed-loop HTTP load generator on loopback");
    auto Add = Options.add_options();
    Add("port", "Port on 127.0.0.1", cxxopts::value<std::uint16_t>());
    Add("path", "Request path",
        cxxopts::value<std::string>()->default_value("/"));
    Add("key", "Value of X-Caller-Key",
        cxxopts::value<std::string>()->default_value(""));
    Add("callers", "Number of connections",
        cxxopts::value<unsigned>()->default_value("8"));
    Add("seconds", "Duration in seconds",
        cxxopts::value<unsigned>()->default_value("5"));
    Add("pid", "Id of the process whose CPU time is measured, 0: none",
        cxxopts::value<int>()->default_value("0"));
    return run(Options.parse(Count, Arguments));
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::fprintf(stderr, "bench_load: %s\n", Failure.what());
    return 2;
  }
}
