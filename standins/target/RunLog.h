#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornring::standin {

/// One execution of a request. Times are readings of the machine's monotonic
/// clock, comparable between processes.
struct Run {
  std::string RequestId;
  std::string Workspace;
  std::string Slice;
  std::string Epoch; ///< "TERM.SEQUENCE" as sent with the request.
  std::string Method;
  std::string Path;
  bool SawCallerKey = false;
  std::int64_t StartedUs = 0;
  std::int64_t EndedUs = 0; ///< 0 while running.
  bool Cancelled = false;
};

/// Records all runs since the process started, in the order in which they
/// began.
class RunLog {
public:
  RunLog() = default;
  /// Also appends each run to a file when it begins, one JSON object per line,
  /// so that the record outlives a process that is killed. An empty path means
  /// no file.
  explicit RunLog(const std::string &Path);
  ~RunLog();
  RunLog(const RunLog &) = delete;
  auto operator=(const RunLog &) -> RunLog & = delete;

  auto begin(Run Entry) -> std::size_t;
  auto end(std::size_t Index, std::int64_t NowUs, bool Cancelled) -> void;
  auto runCount(const std::string &RequestId) const -> std::size_t;
  auto json() const -> nlohmann::json;

private:
  auto append(const Run &Entry) const -> void;

  int FileDescriptor = -1;
  std::vector<Run> Runs;
  std::unordered_map<std::string, std::size_t> RunCounts;
  std::uint64_t RepeatedRuns = 0;
  std::uint64_t CallerKeysSeen = 0;
};

} // namespace buckthornring::standin
