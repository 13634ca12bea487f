#include "Rollout/RolloutRecord.h"

#include "Common/JsonText.h"

#include <nlohmann/json.hpp>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

auto milliseconds(Duration Time) -> std::int64_t { return Time.count() / 1000; }

/// Longest time in a record, 10 years; larger ones are mistakes.
constexpr std::int64_t MaxMs = 315'360'000'000;

/// More than the values of a record.
constexpr std::size_t MaxValues = 100;

/// Longer strings are cut off. Versions in orders have at most 255 bytes.
constexpr std::size_t MaxStringBytes = 512;

auto readMs(const Json &Value) -> Duration {
  const auto Ms = integer<std::int64_t>(Value);
  if (Ms < 0 || Ms > MaxMs)
    throw Json::other_error::create(501, "time out of range", &Value);
  return Duration(Ms * 1000);
}

} // namespace

auto RolloutRecord::toJson() const -> Json {
  return {{"order", Order},
          {"to", To},
          {"base", Base},
          {"length_ms", milliseconds(Length)},
          {"elapsed_ms", milliseconds(Elapsed)},
          {"stage", std::string(RolloutStageNames.name(Stage))},
          {"share_ppm", SharePpm},
          {"cause", Cause},
          {"requests", Requests},
          {"old", Json::array({Old.Requests, Old.Failures})},
          {"new", Json::array({New.Requests, New.Failures})},
          {"era", Era}};
}

auto RolloutRecord::parts() -> JsonParts {
  return {.Members = {"order", "to", "base", "length_ms", "elapsed_ms", "stage",
                      "share_ppm", "cause", "requests", "old", "new", "era"},
          .Depth = 2,
          .Values = MaxValues,
          .StringBytes = MaxStringBytes};
}

auto RolloutRecord::parse(const Json &Value) -> Result<RolloutRecord> {
  RolloutRecord Out;
  try {
    Out.Order = integer<std::uint64_t>(Value.at("order"));
    Out.To = Value.at("to").get<std::string>();
    Out.Base = Value.at("base").get<std::string>();
    Out.Length = readMs(Value.at("length_ms"));
    Out.Elapsed = readMs(Value.at("elapsed_ms"));
    const auto Stage =
        RolloutStageNames.parse(Value.at("stage").get<std::string>());
    if (!Stage)
      return Error("unknown stage");
    Out.Stage = *Stage;
    Out.SharePpm = integer<std::uint32_t>(Value.at("share_ppm"));
    Out.Cause = Value.at("cause").get<std::string>();
    Out.Requests = integer<std::uint32_t>(Value.at("requests"));
    for (const auto &[Name, Outcomes] :
         {std::pair("old", &Out.Old), std::pair("new", &Out.New)}) {
      Outcomes->Requests = integer<std::uint32_t>(Value.at(Name).at(0));
      Outcomes->Failures = integer<std::uint32_t>(Value.at(Name).at(1));
    }
    Out.Era = integer<std::uint64_t>(Value.at("era"));
  } catch (const Json::exception &Failure) {
    return Error(Failure.what());
  }
  return Out;
}

} // namespace buckthornring
