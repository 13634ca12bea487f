#include "Gateway/GatewaySettings.h"

#include "Config/FieldReader.h"
#include "buckthornring/Config/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace buckthornring {

namespace {

constexpr double LongestSeconds = 3600;
constexpr double LargestCount = 1e6;
constexpr double LargestShare = 1024; ///< Cores of a large machine.

auto seconds(FieldReader &Fields, const std::string &Key, Duration &Out)
    -> void {
  double Value = 0;
  Fields.number(Key, Value, 0.001, LongestSeconds, Presence::Required);
  Out = Duration(std::llround(Value * 1e6));
}

auto readBounds(FieldReader &Fields, FleetBounds &Out) -> void {
  const auto Number = [&Fields](const char *Key, double &Value) {
    Fields.number(Key, Value, 0, LargestCount, Presence::Required);
  };
  Number("retry_ratio", Out.Retries.Ratio);
  Number("retry_slack", Out.Retries.Slack);
  seconds(Fields, "retry_window_s", Out.Retries.Window);
  Number("rate_excess", Out.Rates.Excess);
  Number("rate_slack", Out.Rates.Slack);
  seconds(Fields, "rate_window_s", Out.Rates.Window);
  Number("cold_excess", Out.ColdExcess);
  Number("cold_slack", Out.ColdSlack);
  seconds(Fields, "stop_grace_s", Out.StopGrace);
  seconds(Fields, "longest_hold_s", Out.LongestHold);
}

} // namespace

auto GatewaySettings::describes(const SettingsDocument &Document) -> bool {
  return Document.value().is_object() &&
         Document.value().contains("store_address");
}

auto GatewaySettings::check(const SettingsDocument &Document)
    -> Checked<GatewaySettings> {
  std::vector<SettingsError> Errors;
  FieldReader Root(Document, Errors);
  GatewaySettings Out;
  std::string Name;
  Root.identifier("instance", Name);
  Out.Instance = InstanceId(Name);
  Root.identifier("data_centre", Name);
  Out.DataCentre = DataCentreId(Name);
  Root.address("caller_address", Out.CallerAddress, 0);
  Root.address("ready_address", Out.ReadyAddress, 0);
  Root.address("peer_address", Out.PeerAddress, 0);
  Root.address("store_address", Out.StoreAddress, 1);
  Root.number("processor_share", Out.ProcessorShare, 0.001, LargestShare,
              Presence::Required);
  if (!Root.has("bounds"))
    Root.report("bounds", "nothing", "an object");
  Root.object("bounds",
              [&Out](FieldReader &Fields) { readBounds(Fields, Out.Bounds); });
  Root.finish();
  if (!Errors.empty())
    return {std::nullopt, std::move(Errors)};
  return {std::move(Out), {}};
}

auto GatewaySettings::read(std::string_view Text, const std::string &File)
    -> Checked<GatewaySettings> {
  auto Document = SettingsReader::read(Text, File);
  if (!Document)
    return {std::nullopt, std::move(Document.Errors)};
  return check(*Document.Value);
}

} // namespace buckthornring
