#include "buckthornring/Observe/PrometheusText.h"

#include <array>
#include <charconv>

namespace buckthornring {

namespace {

/// Escapes a label value. Help texts use the same rules without the quote.
auto escaped(std::string_view Value, bool Quoted) -> std::string {
  std::string Out;
  for (const char Each : Value) {
    if (Each == '\n') {
      Out += "\\n";
      continue;
    }
    if (Each == '\\' || (Quoted && Each == '"'))
      Out += '\\';
    Out += Each;
  }
  return Out;
}

/// Shortest decimal text that reads back as the same value.
auto decimal(double Value) -> std::string {
  std::array<char, 64> Buffer{};
  const auto Written =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Value);
  return {Buffer.data(), Written.ptr};
}

auto decimalSeconds(Duration Value) -> std::string {
  return decimal(std::chrono::duration<double>(Value).count());
}

template <class Enum, std::size_t Count>
auto addSamples(PrometheusText &Out, const char *Label,
                const EnumNames<Enum, Count> &Names,
                const std::array<std::uint64_t, Count> &Values) -> void {
  for (std::size_t Index = 0; Index < Count; ++Index)
    Out.sample({{Label, std::string(Names.name(static_cast<Enum>(Index)))}},
               Values[Index]);
}

} // namespace

auto PrometheusText::family(std::string_view Name, std::string_view Help,
                            std::string_view Type) -> void {
  Family = Name;
  Text += "# HELP " + Family + " " + escaped(Help, false) + "\n# TYPE " +
          Family + " " + std::string(Type) + "\n";
}

auto PrometheusText::counterFamily(std::string_view Name, std::string_view Help)
    -> void {
  family(Name, Help, "counter");
}

auto PrometheusText::gaugeFamily(std::string_view Name, std::string_view Help)
    -> void {
  family(Name, Help, "gauge");
}

auto PrometheusText::histogramFamily(std::string_view Name,
                                     std::string_view Help) -> void {
  family(Name, Help, "histogram");
}

auto PrometheusText::line(std::string_view Suffix, const Labels &Labels,
                          std::string_view Value) -> void {
  Text += Family;
  Text += Suffix;
  char Separator = '{';
  for (const auto &[Name, Each] : Labels) {
    Text += Separator + Name + "=\"" + escaped(Each, true) + "\"";
    Separator = ',';
  }
  if (!Labels.empty())
    Text += '}';
  Text += ' ';
  Text += Value;
  Text += '\n';
}

auto PrometheusText::sample(const Labels &Labels, std::uint64_t Value) -> void {
  line("", Labels, std::to_string(Value));
}

auto PrometheusText::sample(const Labels &Labels, double Value) -> void {
  line("", Labels, decimal(Value));
}

auto PrometheusText::sample(const Labels &Labels, const LatencyHistogram &Value)
    -> void {
  // The buckets are read before the total, so that latencies recorded in
  // between cannot make a bucket larger than the total.
  const auto Buckets = Value.buckets();
  const auto Count = std::to_string(Value.count());
  auto WithBound = Labels;
  WithBound.emplace_back("le", "");
  for (const auto &Each : Buckets) {
    WithBound.back().second = decimalSeconds(Each.UpperBound);
    line("_bucket", WithBound, std::to_string(Each.CumulativeCount));
  }
  WithBound.back().second = "+Inf";
  line("_bucket", WithBound, Count);
  line("_sum", Labels, decimalSeconds(Value.sum()));
  line("_count", Labels, Count);
}

auto PrometheusText::add(const CounterTotals &Totals) -> void {
  counterFamily("buckthornring_requests_total",
                "Requests by how they ended for the caller.");
  addSamples(*this, "outcome", RequestOutcomeNames, Totals.Outcomes);
  counterFamily("buckthornring_responses_total",
                "Responses sent to callers by status class.");
  addSamples(*this, "status", StatusClassNames, Totals.Statuses);
  counterFamily("buckthornring_refusals_total",
                "Requests refused by the router, by reason.");
  addSamples(*this, "reason", RefusalReasonNames, Totals.Refusals);
  counterFamily("buckthornring_retries_total",
                "Further attempts of requests, by reason.");
  addSamples(*this, "reason", RetryReasonNames, Totals.Retries);
}

} // namespace buckthornring
