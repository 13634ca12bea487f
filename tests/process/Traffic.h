#pragma once

#include "Caller.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace buckthornring::test {

/// What a caller saw for one request.
struct Sent {
  std::string Path;
  HttpOutcome Outcome;
};

/// Callers on threads of their own, each sending one request after another
/// until stop().
class Traffic {
public:
  /// Returns the request with a number that is unique in this traffic, and the
  /// address to send it to.
  using Maker =
      std::function<std::pair<std::string, HttpRequest>(std::size_t Number)>;

  Traffic(std::size_t Callers, Maker MakeRequest,
          std::chrono::milliseconds Pause = std::chrono::milliseconds(1));
  ~Traffic();

  /// Ends the callers after their current request and returns everything sent.
  auto stop() -> std::vector<Sent>;
  auto count() const -> std::size_t { return Completed; }
  auto succeeded() const -> std::size_t { return Succeeded; }

private:
  auto run() -> void;

  Maker MakeRequest;
  std::chrono::milliseconds Pause;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> Numbers = 0;
  std::atomic<std::size_t> Completed = 0;
  std::atomic<std::size_t> Succeeded = 0;
  std::mutex Lock; ///< Guards Log.
  std::vector<Sent> Log;
  std::vector<std::thread> Threads;
};

/// Returns a summary such as "200: 30, 503 no-owner not-run: 2" for messages.
auto summary(const std::vector<Sent> &Log) -> std::string;

} // namespace buckthornring::test
