#include "Entry/EntryMetrics.h"

#include "buckthornring/Observe/PrometheusText.h"

namespace buckthornring {

auto entryMetrics(const std::vector<std::unique_ptr<TrafficThread>> &Threads,
                  const Counters &Totals, std::uint64_t RejectedCallers)
    -> std::string {
  PrometheusText Out;
  Out.add(Totals.totals());
  Out.counterFamily("buckthornring_events_total",
                    "Events of the request path.");
  for (std::size_t Index = 0; Index < EntryEventNames.size(); ++Index) {
    const auto Event = static_cast<EntryEvent>(Index);
    std::uint64_t Sum = 0;
    for (const auto &Thread : Threads)
      Sum += Thread->events().value(Event);
    Out.sample({{"event", std::string(EntryEventNames.name(Event))}}, Sum);
  }
  std::uint64_t Open = 0;
  std::uint64_t Ejected = 0;
  LatencyHistogram Latency;
  for (const auto &Thread : Threads) {
    Open += Thread->connections();
    Ejected += Thread->events().ejected();
    Latency.merge(Thread->latency());
  }
  Out.counterFamily("buckthornring_callers_rejected_total",
                    "Connections closed at once: too many were open.");
  Out.sample({}, RejectedCallers);
  Out.gaugeFamily("buckthornring_caller_connections",
                  "Open connections of callers.");
  Out.sample({}, Open);
  Out.gaugeFamily("buckthornring_ejected_targets",
                  "Ejected targets, summed over traffic threads.");
  Out.sample({}, Ejected);
  Out.histogramFamily("buckthornring_request_seconds",
                      "Time from a request's head to the end of its answer.");
  Out.sample({}, Latency);
  return Out.text();
}

} // namespace buckthornring
