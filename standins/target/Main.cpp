#include "TargetServer.h"

#include "../common/Program.h"

#include <cxxopts.hpp>

using namespace buckthornring;

namespace {

auto commandLineOptions() -> cxxopts::Options {
  cxxopts::Options Options("standin_target", "Target test server");
  auto Add = Options.add_options();
  Add("name", "Target name in the configuration; empty: any name is accepted",
      cxxopts::value<std::string>()->default_value(""));
  Add("port", "TCP port, 0: chosen by the kernel",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  Add("verified", "Run only requests for slices granted by a lease");
  Add("slots", "Maximum number of concurrent requests",
      cxxopts::value<unsigned>()->default_value("4"));
  Add("queue", "Maximum number of requests that wait for a slot",
      cxxopts::value<std::size_t>()->default_value("16"));
  Add("connections", "Maximum number of open connections",
      cxxopts::value<std::size_t>()->default_value("120"));
  Add("service-us", "Service time in microseconds",
      cxxopts::value<unsigned>()->default_value("2000"));
  Add("cold-ms", "Milliseconds from a start to full capacity",
      cxxopts::value<unsigned>()->default_value("0"));
  Add("run-log", "File to which each run is appended",
      cxxopts::value<std::string>()->default_value(""));
  Add("max-seconds", "Exit after this many seconds",
      cxxopts::value<unsigned>()->default_value("600"));
  return Options;
}

auto targetOptions(const cxxopts::ParseResult &Parsed)
    -> standin::TargetOptions {
  standin::TargetOptions Options;
  Options.Name = Parsed["name"].as<std::string>();
  Options.Port = Parsed["port"].as<std::uint16_t>();
  Options.Verified = Parsed.count("verified") > 0;
  Options.MaxConnections = Parsed["connections"].as<std::size_t>();
  Options.Work.Slots = std::max(1U, Parsed["slots"].as<unsigned>());
  Options.Work.QueueLimit = Parsed["queue"].as<std::size_t>();
  Options.Work.ServiceTime =
      std::chrono::microseconds(Parsed["service-us"].as<unsigned>());
  Options.Work.WarmUpPeriod =
      std::chrono::milliseconds(Parsed["cold-ms"].as<unsigned>());
  Options.RunLogPath = Parsed["run-log"].as<std::string>();
  return Options;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  try {
    auto CommandLine = commandLineOptions();
    const auto Parsed = CommandLine.parse(Count, Arguments);
    boost::asio::io_context Context(1);
    const auto Server =
        standin::TargetServer::start(Context, targetOptions(Parsed));
    if (!Server) {
      std::fprintf(stderr, "standin_target: %s\n",
                   Server.error().message().c_str());
      return 1;
    }
    standin::runProgram(Context, Server.value()->port(),
                        Parsed["max-seconds"].as<unsigned>());
    return 0;
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::fprintf(stderr, "standin_target: %s\n", Failure.what());
    return 2;
  }
}
