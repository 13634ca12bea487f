#pragma once

#include "buckthornring/IO/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>

namespace buckthornring::standin {

inline auto jsonResponse(const nlohmann::json &Body, unsigned Status = 200)
    -> HttpResponse {
  // Echoed request bodies need not be valid UTF-8; invalid bytes are replaced.
  return {Status,
          {{"Content-Type", "application/json"}},
          Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

inline auto emptyResponse(unsigned Status) -> HttpResponse {
  return {Status, {}, {}};
}

/// Prints the listening address, then runs \p Context until SIGTERM or SIGINT.
/// Stops after \p MaxSeconds at the latest, so that a test that is killed
/// leaves no process behind.
inline auto runProgram(boost::asio::io_context &Context, std::uint16_t Port,
                       unsigned MaxSeconds) -> void {
  std::printf("listening 127.0.0.1:%u\n", static_cast<unsigned>(Port));
  std::fflush(stdout);
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&Context](auto, int) { Context.stop(); });
  boost::asio::steady_timer RunTimeLimit(Context,
                                         std::chrono::seconds(MaxSeconds));
  RunTimeLimit.async_wait([&Context](auto Cancelled) {
    if (!Cancelled)
      Context.stop();
  });
  Context.run();
}

} // namespace buckthornring::standin
