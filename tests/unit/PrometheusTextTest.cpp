#include "buckthornring/Observe/PrometheusText.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

// Guards against text that a scraper rejects: unescaped labels, and families
// without type.
TEST(PrometheusTextTest, WritesFamiliesAndEscapesLabels) {
  PrometheusText Out;
  Out.gaugeFamily("up", "Two\nlines.");
  Out.sample({}, std::uint64_t{1});
  Out.sample({{"a", "q\"b\\n\n"}, {"b", ""}}, 0.25);
  EXPECT_EQ(Out.text(), "# HELP up Two\\nlines.\n"
                        "# TYPE up gauge\n"
                        "up 1\n"
                        "up{a=\"q\\\"b\\\\n\\n\",b=\"\"} 0.25\n");
}

// Guards against a reason without a counter.
TEST(PrometheusTextTest, WritesACounterForEveryReason) {
  Counters All(1);
  All.stripe(0).add(RefusalReason::OverRate);
  PrometheusText Out;
  Out.add(All.totals());
  for (std::size_t I = 0; I < RefusalReasonNames.size(); ++I) {
    const auto Name = RefusalReasonNames.name(static_cast<RefusalReason>(I));
    const auto Value = Name == "over-rate" ? " 1\n" : " 0\n";
    EXPECT_NE(Out.text().find("buckthornring_refusals_total{reason=\"" +
                              std::string(Name) + "\"}" + Value),
              std::string::npos)
        << Name;
  }
  for (std::size_t I = 0; I < RetryReasonNames.size(); ++I)
    EXPECT_NE(Out.text().find("buckthornring_retries_total{reason=\"" +
                              std::string(RetryReasonNames.name(
                                  static_cast<RetryReason>(I)))),
              std::string::npos);
}

// Guards against histogram buckets that are not cumulative or lack "+Inf".
TEST(PrometheusTextTest, WritesHistograms) {
  LatencyHistogram Histogram;
  Histogram.record(std::chrono::milliseconds(3));
  Histogram.record(std::chrono::seconds(200));
  PrometheusText Out;
  Out.histogramFamily("wait_seconds", "Wait.");
  Out.sample({{"service", "s"}}, Histogram);
  const auto Has = [&](const char *Line) {
    return Out.text().find(Line) != std::string::npos;
  };
  EXPECT_TRUE(Has("wait_seconds_bucket{service=\"s\",le=\"1e-04\"} 0\n"));
  EXPECT_TRUE(Has("wait_seconds_bucket{service=\"s\",le=\"0.01\"} 1\n"));
  EXPECT_TRUE(Has("wait_seconds_bucket{service=\"s\",le=\"100\"} 1\n"));
  EXPECT_TRUE(Has("wait_seconds_bucket{service=\"s\",le=\"+Inf\"} 2\n"));
  EXPECT_TRUE(Has("wait_seconds_sum{service=\"s\"} 200.003\n"));
  EXPECT_TRUE(Has("wait_seconds_count{service=\"s\"} 2\n"));
}

} // namespace
