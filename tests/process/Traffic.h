#pragma once

#include "Caller.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace buckthornring::test {

/// The path and the outcome of one request.
struct RequestRecord {
  std::string Path;
  HttpOutcome Outcome;
};

/// A load generator: caller threads that each send one request after another
/// until stop().
class Traffic {
public:
  /// Returns the address to send to and the request for \p Number, which is
  /// unique in this object.
  using RequestFactory =
      std::function<std::pair<std::string, HttpRequest>(std::size_t Number)>;

  Traffic(std::size_t Callers, RequestFactory MakeRequest,
          std::chrono::milliseconds Pause = std::chrono::milliseconds(1));
  ~Traffic();

  /// Stops the callers after their current request and returns the records of
  /// all requests.
  auto stop() -> std::vector<RequestRecord>;
  auto count() const -> std::size_t { return Completed; }
  auto succeeded() const -> std::size_t { return Succeeded; }

private:
  auto run() -> void;

  RequestFactory MakeRequest;
  std::chrono::milliseconds Pause;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> NextNumber = 0;
  std::atomic<std::size_t> Completed = 0;
  std::atomic<std::size_t> Succeeded = 0;
  std::mutex Lock; ///< Guards Log.
  std::vector<RequestRecord> Log;
  std::vector<std::thread> Threads;
};

/// Returns a summary for messages, such as "200 x30, 503 no-owner not-run x2".
auto summary(const std::vector<RequestRecord> &Log) -> std::string;

} // namespace buckthornring::test
