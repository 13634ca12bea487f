#include "buckthornring/Config/ConfigChecker.h"

#include "Config/FieldReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace buckthornring {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Detects duplicate values and reports them with the key that used them first.
class UniqueValues {
public:
  UniqueValues(const char *Description) : Description(Description) {}

  auto check(FieldReader &Fields, const std::string &Key,
             const std::string &Value) -> void {
    if (Value.empty())
      return;
    const auto [FirstUse, Inserted] =
        FirstUses.emplace(Value, Fields.path(Key));
    if (!Inserted)
      Fields.report(Key, std::string(Description) + " that " +
                             FirstUse->second + " does not use");
  }

private:
  const char *Description;
  std::map<std::string, std::string> FirstUses;
};

/// Lists the defined names for an error message, at most 10 of them.
template <class Map>
auto definedNames(const char *Section, const Map &Defined) -> std::string {
  constexpr std::size_t Limit = 10;
  std::string Text = std::string("a name defined in ") + Section;
  std::size_t Count = 0;
  for (const auto &Each : Defined) {
    if (Count == Limit)
      return Text + ", ...";
    Text += (Count++ == 0 ? ": " : ", ") + Each.first.str();
  }
  return Text;
}

template <class Map>
auto checkReference(FieldReader &Fields, const std::string &Key,
                    const char *Section, const Map &Defined,
                    const typename Map::key_type &Id) -> void {
  if (!Id.empty() && !Defined.contains(Id))
    Fields.report(Key, definedNames(Section, Defined));
}

auto readWorkspace(FieldReader &Fields) -> WorkspaceConfig {
  WorkspaceConfig Out;
  Fields.number("rate_per_second", Out.RatePerSecond, 0.001, 1e9,
                Presence::Required);
  // A bucket that holds less than one token never admits a request.
  Fields.number("burst", Out.Burst, 1, 1e9, Presence::Required);
  Fields.integer("weight", Out.Weight, 1, 1000);
  Fields.integer("queue_limit", Out.QueueLimit, 1, 100'000);
  // A withdrawn key must stop working within seconds, hence the limit.
  Fields.duration("staleness_limit_ms", Out.StalenessLimit, seconds(1),
                  seconds(10));
  return Out;
}

/// Reads the serving state and whether the operator confirmed the loss.
template <class Config>
auto readState(FieldReader &Fields, Config &Out) -> void {
  Fields.choice("state", ServingStateNames, Out.State);
  Fields.boolean("confirmed_lost", Out.ConfirmedLost);
  if (Out.ConfirmedLost && Out.State == ServingState::InService)
    Fields.report("confirmed_lost",
                  "false, or true with the state \"taken-out\"");
}

auto readDataCentre(FieldReader &Fields) -> DataCentreConfig {
  DataCentreConfig Out;
  readState(Fields, Out);
  Fields.integer("weight", Out.Weight, 1, 1000);
  Fields.identifier("region", Out.Region, Presence::Optional);
  return Out;
}

auto isDigest(const std::string &Text) -> bool {
  return Text.size() == 64 &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Reads the sections in an order in which each refers only to earlier ones.
class ConfigurationReader {
public:
  ConfigurationReader(const SettingsDocument &Document,
                      std::vector<SettingsError> &Errors)
      : Root(Document, Errors) {}

  auto run() -> Configuration {
    readDataCentres();
    readWorkspaces();
    readCallerKeys();
    readServices();
    readRoutes();
    Root.finish();
    return std::move(Out);
  }

private:
  auto readDataCentres() -> void {
    const auto Read = [this](const std::string &Name, FieldReader &Fields) {
      Out.DataCentres[DataCentreId(Name)] = readDataCentre(Fields);
    };
    Root.entries("data_centres", Read, Presence::Required);
    const auto InService = [](const auto &Each) {
      return Each.second.State == ServingState::InService;
    };
    if (Root.has("data_centres") &&
        std::none_of(Out.DataCentres.begin(), Out.DataCentres.end(), InService))
      Root.report("data_centres", "no data centre in service",
                  "at least one with the state \"in-service\"");
  }

  auto readWorkspaces() -> void {
    const auto Read = [this](const std::string &Name, FieldReader &Fields) {
      Out.Workspaces[WorkspaceId(Name)] = readWorkspace(Fields);
    };
    Root.entries("workspaces", Read);
  }

  auto readCallerKeys() -> void {
    UniqueValues Digests("a digest");
    const auto Read = [&](const std::string &Name, FieldReader &Fields) {
      CallerKeyConfig Key;
      std::string Workspace;
      Fields.text("digest", Key.Digest, Presence::Required);
      if (!Key.Digest.empty() && !isDigest(Key.Digest))
        Fields.report("digest", "64 lower-case hex digits (SHA-256)");
      Digests.check(Fields, "digest", Key.Digest);
      Fields.identifier("workspace", Workspace);
      Key.Workspace = WorkspaceId(Workspace);
      checkReference(Fields, "workspace", "workspaces", Out.Workspaces,
                     Key.Workspace);
      Fields.boolean("withdrawn", Key.Withdrawn);
      Out.CallerKeys[Name] = std::move(Key);
    };
    Root.entries("caller_keys", Read);
  }

  auto readTarget(FieldReader &Fields) -> TargetConfig {
    TargetConfig Target;
    std::string DataCentre;
    Fields.address("address", Target.Address, 1);
    Addresses.check(Fields, "address", Target.Address);
    Fields.identifier("data_centre", DataCentre);
    Target.DataCentre = DataCentreId(DataCentre);
    checkReference(Fields, "data_centre", "data_centres", Out.DataCentres,
                   Target.DataCentre);
    readState(Fields, Target);
    return Target;
  }

  auto readService(FieldReader &Fields) -> ServiceConfig {
    ServiceConfig Service;
    Fields.choice("kind", ServiceKindNames, Service.Kind, Presence::Required);
    Fields.choice("verification", TargetVerificationNames,
                  Service.Verification);
    Fields.integer("slices", Service.Slices, 1, 65'536);
    if (!std::has_single_bit(Service.Slices))
      Fields.report("slices", "a power of two from 1 to 65536");
    Fields.integer("slots_per_target", Service.SlotsPerTarget, 1, 10'000);
    Fields.integer("connections_per_target", Service.ConnectionsPerTarget, 1,
                   100'000);
    Fields.duration("default_deadline_ms", Service.DefaultDeadline,
                    milliseconds(1), hours(1));
    Fields.duration("max_deadline_ms", Service.MaxDeadline, milliseconds(1),
                    hours(1));
    if (Service.DefaultDeadline > Service.MaxDeadline)
      Fields.report(Fields.has("default_deadline_ms") ? "default_deadline_ms"
                                                      : "max_deadline_ms",
                    "a default_deadline_ms (default 5000) of at most "
                    "max_deadline_ms (default 30000)");
    Fields.duration("cold_start_ramp_ms", Service.ColdStartRamp,
                    milliseconds(1), hours(1));
    const auto Read = [&](const std::string &Name, FieldReader &Inner) {
      Service.Targets[TargetId(Name)] = readTarget(Inner);
    };
    Fields.entries("targets", Read);
    return Service;
  }

  auto readServices() -> void {
    const auto Read = [this](const std::string &Name, FieldReader &Fields) {
      Out.Services[ServiceId(Name)] = readService(Fields);
    };
    Root.entries("services", Read);
  }

  auto readRouteKey(FieldReader &Fields, RouteConfig &Route) -> void {
    Fields.choice("key_source", KeySourceNames, Route.Source);
    Fields.text("key_name", Route.KeyName);
    Fields.integer("key_segment", Route.KeySegment, 0, 100);
    const bool InPath = Route.Source == KeySource::PathSegment;
    if (InPath && Fields.has("key_name"))
      Fields.report("key_name",
                    "only with the key_source \"header\" or \"query\"");
    if (!InPath && Fields.has("key_segment"))
      Fields.report("key_segment", "only with the key_source \"path-segment\"");
    if (!InPath && !Fields.has("key_name"))
      Fields.report("key_name", "the name of the header or query parameter");
  }

  auto readRoutes() -> void {
    UniqueValues Prefixes("a path prefix");
    const auto Read = [&](const std::string &Name, FieldReader &Fields) {
      RouteConfig Route;
      std::string Service;
      Fields.text("path_prefix", Route.PathPrefix, Presence::Required);
      if (!Route.PathPrefix.empty() && Route.PathPrefix.front() != '/')
        Fields.report("path_prefix", "a path that starts with \"/\"");
      Prefixes.check(Fields, "path_prefix", Route.PathPrefix);
      Fields.identifier("service", Service);
      Route.Service = ServiceId(Service);
      checkReference(Fields, "service", "services", Out.Services,
                     Route.Service);
      Fields.boolean("open", Route.Open);
      readRouteKey(Fields, Route);
      Fields.boolean("idempotent", Route.Idempotent);
      Out.Routes[Name] = std::move(Route);
    };
    Root.entries("routes", Read);
  }

  FieldReader Root;
  Configuration Out;
  UniqueValues Addresses{"an address"};
};

} // namespace

auto ConfigChecker::check(const SettingsDocument &Document,
                          std::uint64_t Generation) -> Checked<Configuration> {
  std::vector<SettingsError> Errors;
  auto Found = ConfigurationReader(Document, Errors).run();
  if (!Errors.empty())
    return {std::nullopt, std::move(Errors)};
  Found.Generation = Generation;
  return {std::move(Found), {}};
}

} // namespace buckthornring
