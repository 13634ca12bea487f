#include "Entry/EntryMetrics.h"

namespace buckthornring {

namespace {

using ThreadList = std::vector<std::unique_ptr<TrafficThread>>;

template <class Enum, std::size_t Size>
auto appendCounters(std::string &Out, const ThreadList &Threads,
                    const std::string &Metric, const std::string &Label,
                    const EnumNames<Enum, Size> &Names) -> void {
  Out.append("# TYPE ").append(Metric).append(" counter\n");
  for (std::size_t Index = 0; Index < Size; ++Index) {
    const auto Which = static_cast<Enum>(Index);
    std::uint64_t Sum = 0;
    for (const auto &Thread : Threads)
      Sum += Thread->counters().value(Which);
    Out.append(Metric).append("{").append(Label).append("=\"");
    Out.append(Names.name(Which)).append("\"} ");
    Out.append(std::to_string(Sum)).append("\n");
  }
}

} // namespace

auto entryMetrics(const ThreadList &Threads, std::uint64_t RejectedCallers)
    -> std::string {
  std::string Out;
  appendCounters(Out, Threads, "buckthornring_events_total", "event",
                 EntryEventNames);
  appendCounters(Out, Threads, "buckthornring_refusals_total", "reason",
                 RefusalReasonNames);
  appendCounters(Out, Threads, "buckthornring_retries_total", "reason",
                 RetryReasonNames);
  std::size_t Open = 0;
  for (const auto &Thread : Threads)
    Open += Thread->connections();
  Out.append("# TYPE buckthornring_caller_connections gauge\n"
             "buckthornring_caller_connections ");
  Out.append(std::to_string(Open)).append("\n");
  Out.append("# TYPE buckthornring_callers_rejected_total counter\n"
             "buckthornring_callers_rejected_total ");
  return Out.append(std::to_string(RejectedCallers)).append("\n");
}

} // namespace buckthornring
