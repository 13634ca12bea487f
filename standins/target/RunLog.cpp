#include "RunLog.h"

namespace buckthornring::standin {

auto RunLog::begin(Run Entry) -> std::size_t {
  if (!Entry.RequestId.empty() && ++Counts[Entry.RequestId] > 1)
    ++Twice;
  if (Entry.SawCallerKey)
    ++KeysSeen;
  Runs.push_back(std::move(Entry));
  return Runs.size() - 1;
}

auto RunLog::end(std::size_t Index, std::int64_t NowUs, bool Cancelled)
    -> void {
  Runs[Index].EndedUs = NowUs;
  Runs[Index].Cancelled = Cancelled;
}

auto RunLog::countOf(const std::string &RequestId) const -> std::size_t {
  const auto Found = Counts.find(RequestId);
  return Found == Counts.end() ? 0 : Found->second;
}

auto RunLog::json() const -> nlohmann::json {
  auto List = nlohmann::json::array();
  for (const auto &Entry : Runs)
    List.push_back({{"request_id", Entry.RequestId},
                    {"workspace", Entry.Workspace},
                    {"slice", Entry.Slice},
                    {"epoch", Entry.Epoch},
                    {"method", Entry.Method},
                    {"path", Entry.Path},
                    {"caller_key", Entry.SawCallerKey},
                    {"started_us", Entry.StartedUs},
                    {"ended_us", Entry.EndedUs},
                    {"cancelled", Entry.Cancelled}});
  return {{"runs", List}, {"twice", Twice}, {"caller_keys_seen", KeysSeen}};
}

} // namespace buckthornring::standin
