#include "PlatformServer.h"

#include "../common/Program.h"

#include <cxxopts.hpp>

using namespace buckthornring;

auto main(int Count, char **Arguments) -> int {
  try {
    cxxopts::Options Options("standin_platform", "Platform test server");
    Options.add_options()("port", "TCP port, 0: chosen by the kernel",
                          cxxopts::value<std::uint16_t>()->default_value("0"))(
        "max-seconds", "Exit after this many seconds",
        cxxopts::value<unsigned>()->default_value("600"));
    const auto Parsed = Options.parse(Count, Arguments);
    boost::asio::io_context Context(1);
    const auto Server = standin::PlatformServer::start(
        Context, Parsed["port"].as<std::uint16_t>());
    if (!Server) {
      std::fprintf(stderr, "standin_platform: %s\n",
                   Server.error().message().c_str());
      return 1;
    }
    standin::runProgram(Context, Server.value()->port(),
                        Parsed["max-seconds"].as<unsigned>());
    return 0;
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::fprintf(stderr, "standin_platform: %s\n", Failure.what());
    return 2;
  }
}
