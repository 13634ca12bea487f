#include "Commands.h"

#include <chrono>
#include <thread>

namespace buckthornring::cli {

namespace {

/// Status reported by one admin endpoint.
struct EndpointStatus {
  std::string Address;
  std::string Instance;
  std::uint64_t Generation = 0;
  std::string FailureReason; ///< Empty when it answered.
};

auto readEndpoint(const std::string &Address, Duration TimeLimit)
    -> EndpointStatus {
  EndpointStatus Out;
  Out.Address = Address;
  const auto Body = fetchAdmin(Address, "/status", TimeLimit);
  if (!Body) {
    Out.FailureReason = Body.error().message();
    return Out;
  }
  const auto Value = nlohmann::json::parse(*Body, nullptr, false);
  if (!Value.is_object() || !Value.contains("generation") ||
      !Value["generation"].is_number_unsigned()) {
    Out.FailureReason = "the response has no generation";
    return Out;
  }
  Out.Generation = Value["generation"].get<std::uint64_t>();
  if (Value.contains("instance") && Value["instance"].is_string())
    Out.Instance = Value["instance"].get<std::string>();
  return Out;
}

auto readEndpoints(const CommandLine &Line) -> std::vector<EndpointStatus> {
  std::vector<EndpointStatus> Out;
  Out.reserve(Line.AdminAddresses.size());
  for (const auto &Each : Line.AdminAddresses)
    Out.push_back(readEndpoint(Each, Line.TimeLimit));
  return Out;
}

auto inForceEverywhere(const std::vector<EndpointStatus> &Endpoints,
                       std::uint64_t Generation) -> bool {
  for (const auto &Each : Endpoints)
    if (!Each.FailureReason.empty() || Each.Generation < Generation)
      return false;
  return true;
}

auto addInstances(const PlatformInstances &List, CommandResult &Out) -> void {
  Out.Details["instances"] = nlohmann::json::array();
  for (const auto &Each : List.Instances) {
    const std::string State(InstanceStateNames.name(Each.State));
    Out.Details["instances"].push_back({{"id", Each.Instance.str()},
                                        {"address", Each.Address},
                                        {"data_centre", Each.DataCentre.str()},
                                        {"state", State}});
    Out.Lines.push_back("instance " + Each.Instance.str() + " in " +
                        Each.DataCentre.str() + " at " + Each.Address + ": " +
                        State);
  }
}

auto addEndpoints(const std::vector<EndpointStatus> &Endpoints,
                  CommandResult &Out) -> void {
  Out.Details["endpoints"] = nlohmann::json::array();
  for (const auto &Each : Endpoints) {
    nlohmann::json Entry = {{"address", Each.Address}};
    if (Each.FailureReason.empty()) {
      Entry["instance"] = Each.Instance;
      Entry["generation"] = Each.Generation;
    } else {
      Entry["fault"] = Each.FailureReason;
    }
    Out.Details["endpoints"].push_back(std::move(Entry));
    Out.Lines.push_back(
        "endpoint " + Each.Address + ": " +
        (Each.FailureReason.empty()
             ? Each.Instance + ", generation " + std::to_string(Each.Generation)
             : "no answer: " + Each.FailureReason));
  }
}

} // namespace

auto statusCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  constexpr auto PollInterval = std::chrono::milliseconds(50);
  const auto End = std::chrono::steady_clock::now() + Line.WaitLimit;
  const auto Current = Session.readCurrent();
  if (auto Failure = readFailure(Current))
    return std::move(*Failure);
  const auto Generation = Current.Record ? Current.Record->generation() : 0;
  auto Endpoints = readEndpoints(Line);
  while (!inForceEverywhere(Endpoints, Generation) &&
         std::chrono::steady_clock::now() < End) {
    std::this_thread::sleep_for(PollInterval);
    Endpoints = readEndpoints(Line);
  }
  CommandResult Out;
  const bool Everywhere = inForceEverywhere(Endpoints, Generation);
  Out.Code = Everywhere ? ExitCode::Done : ExitCode::Different;
  Out.Result = Everywhere ? "in-force" : "not-in-force";
  Out.Details["generation"] = Generation;
  Out.Lines.push_back("accepted generation " + std::to_string(Generation));
  if (Current.Record) {
    Out.Details["digest"] = Current.Record->digest();
    Out.Lines.back() += ", digest " + Current.Record->digest();
  }
  addInstances(Session.instances(), Out);
  addEndpoints(Endpoints, Out);
  return Out;
}

} // namespace buckthornring::cli
