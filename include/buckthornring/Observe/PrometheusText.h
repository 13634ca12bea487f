#pragma once

#include "buckthornring/Observe/Counters.h"
#include "buckthornring/Observe/LatencyHistogram.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornring {

/// Writes metrics in the Prometheus text exposition format, version 0.0.4.
class PrometheusText {
public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  /// Content type of the text in an HTTP response.
  static constexpr std::string_view ContentType =
      "text/plain; version=0.0.4; charset=utf-8";

  /// Starts a family of counters; its samples follow. A counter's name ends in
  /// "_total".
  auto counterFamily(std::string_view Name, std::string_view Help) -> void;
  auto gaugeFamily(std::string_view Name, std::string_view Help) -> void;
  /// Starts a family of histograms in seconds.
  auto histogramFamily(std::string_view Name, std::string_view Help) -> void;

  /// Adds a sample to the family started last.
  auto sample(const Labels &Labels, std::uint64_t Value) -> void;
  auto sample(const Labels &Labels, double Value) -> void;
  auto sample(const Labels &Labels, const LatencyHistogram &Value) -> void;

  /// Adds the families of all counters.
  auto add(const CounterTotals &Totals) -> void;

  auto text() const -> const std::string & { return Text; }

private:
  auto family(std::string_view Name, std::string_view Help,
              std::string_view Type) -> void;
  auto line(std::string_view Suffix, const Labels &Labels,
            std::string_view Value) -> void;

  std::string Family;
  std::string Text;
};

} // namespace buckthornring
