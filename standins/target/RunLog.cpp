#include "RunLog.h"

#include <fcntl.h>
#include <unistd.h>

namespace buckthornring::standin {

namespace {

auto toJson(const Run &Entry) -> nlohmann::json {
  return {{"request_id", Entry.RequestId},
          {"workspace", Entry.Workspace},
          {"slice", Entry.Slice},
          {"epoch", Entry.Epoch},
          {"method", Entry.Method},
          {"path", Entry.Path},
          {"caller_key", Entry.SawCallerKey},
          {"started_us", Entry.StartedUs},
          {"ended_us", Entry.EndedUs},
          {"cancelled", Entry.Cancelled}};
}

} // namespace

RunLog::RunLog(const std::string &Path) {
  if (!Path.empty())
    FileDescriptor =
        ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
}

RunLog::~RunLog() {
  if (FileDescriptor >= 0)
    ::close(FileDescriptor);
}

// Each line is a single write, so that it is complete or absent when the
// process is killed.
auto RunLog::append(const Run &Entry) const -> void {
  if (FileDescriptor < 0)
    return;
  const auto Line = toJson(Entry).dump() + '\n';
  static_cast<void>(::write(FileDescriptor, Line.data(), Line.size()) > 0);
}

auto RunLog::begin(Run Entry) -> std::size_t {
  if (!Entry.RequestId.empty() && ++RunCounts[Entry.RequestId] > 1)
    ++RepeatedRuns;
  if (Entry.SawCallerKey)
    ++CallerKeysSeen;
  append(Entry);
  Runs.push_back(std::move(Entry));
  return Runs.size() - 1;
}

auto RunLog::end(std::size_t Index, std::int64_t NowUs, bool Cancelled)
    -> void {
  Runs[Index].EndedUs = NowUs;
  Runs[Index].Cancelled = Cancelled;
}

auto RunLog::runCount(const std::string &RequestId) const -> std::size_t {
  const auto Found = RunCounts.find(RequestId);
  return Found == RunCounts.end() ? 0 : Found->second;
}

auto RunLog::json() const -> nlohmann::json {
  auto List = nlohmann::json::array();
  for (const auto &Entry : Runs)
    List.push_back(toJson(Entry));
  return {{"runs", List},
          {"twice", RepeatedRuns},
          {"caller_keys_seen", CallerKeysSeen}};
}

} // namespace buckthornring::standin
