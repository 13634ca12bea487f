#include "Gateway/GatewaySettings.h"

#include "Config/FieldReader.h"
#include "buckthornring/Config/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace buckthornring {

namespace {

constexpr double MaxSeconds = 3600;
constexpr double MaxCount = 1e6;
constexpr double MaxProcessorShare = 1024; ///< Cores of a large machine.
constexpr double MinMemoryMb = 1;
constexpr double MaxMemoryMb = 1e7; ///< Memory of a large machine.
constexpr double MinDescriptors = 1;
constexpr double MaxDescriptorCount = 1e7;

auto readSeconds(FieldReader &Fields, const std::string &Key, Duration &Out)
    -> void {
  double Value = std::chrono::duration<double>(Out).count();
  Fields.number(Key, Value, 0.001, MaxSeconds, Presence::Nullable);
  Out = Duration(std::llround(Value * 1e6));
}

auto readBounds(FieldReader &Fields, ServiceLevelBounds &Out) -> void {
  const auto ReadNumber = [&Fields](const char *Key, double &Value) {
    Fields.number(Key, Value, 0, MaxCount, Presence::Nullable);
  };
  ReadNumber("retry_ratio", Out.Retries.Ratio);
  ReadNumber("retry_slack", Out.Retries.Slack);
  readSeconds(Fields, "retry_window_s", Out.Retries.Window);
  ReadNumber("rate_excess", Out.Rates.Excess);
  ReadNumber("rate_slack", Out.Rates.Slack);
  readSeconds(Fields, "rate_window_s", Out.Rates.Window);
  ReadNumber("cold_excess", Out.ColdExcess);
  ReadNumber("cold_slack", Out.ColdSlack);
  readSeconds(Fields, "stop_grace_s", Out.StopGrace);
  readSeconds(Fields, "longest_hold_s", Out.MaxGrantHold);
  Fields.number("exposure_share", Out.Rollouts.ExposureShare, 0, 1,
                Presence::Nullable);
  ReadNumber("exposure_slack", Out.Rollouts.ExposureSlack);
  readSeconds(Fields, "rollback_s", Out.Rollouts.RollbackTime);
}

auto readHedging(FieldReader &Fields, HedgeLimits &Out) -> void {
  Fields.number("extra_requests", Out.ExtraRequests, 0, 1, Presence::Nullable);
  Fields.number("extra_time", Out.ExtraTime, 0, 1, Presence::Nullable);
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
  Root.number("processor_share", Out.ProcessorShare, 0.001, MaxProcessorShare,
              Presence::Required);
  Root.boolean("first_start", Out.FirstStart);
  Root.number("memory_mb", Out.MemoryMb, MinMemoryMb, MaxMemoryMb,
              Presence::Nullable);
  Root.number("max_descriptors", Out.MaxDescriptors, MinDescriptors,
              MaxDescriptorCount, Presence::Nullable);
  Root.object("bounds",
              [&Out](FieldReader &Fields) { readBounds(Fields, Out.Bounds); });
  Root.object(
      "hedging",
      [&Out](FieldReader &Fields) { readHedging(Fields, Out.Hedging); },
      Presence::Nullable);
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
