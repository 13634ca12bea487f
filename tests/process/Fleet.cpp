#include "Fleet.h"

#include "buckthornring/Config/CallerKeys.h"
#include "buckthornring/Config/ConfigRecord.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

namespace buckthornring::test {

using Json = nlohmann::json;

namespace {

constexpr const char *ProcessTimeoutSeconds = "110";

auto makeFolder() -> std::filesystem::path {
  auto Pattern =
      (std::filesystem::temp_directory_path() / "btr-fleet-XXXXXX").string();
  if (::mkdtemp(Pattern.data()) == nullptr)
    ADD_FAILURE() << "cannot create a temporary folder";
  return Pattern;
}

auto fieldValue(const std::string &Line, const std::string &Name)
    -> std::string {
  const auto Position = Line.find(Name + '=');
  if (Position == std::string::npos)
    return {};
  const auto Start = Position + Name.size() + 1;
  return Line.substr(Start, Line.find(' ', Start) - Start);
}

auto callerKey(const std::string &Key, const std::string &Workspace,
               bool Withdrawn) -> Json {
  return {{"digest", CallerKeys::hex(CallerKeys::digest(Key))},
          {"workspace", Workspace},
          {"withdrawn", Withdrawn}};
}

auto workspace(double Rate, double Burst) -> Json {
  return {{"rate_per_second", Rate}, {"burst", Burst}};
}

} // namespace

Fleet::Fleet(FleetOptions RequestedOptions)
    : Options(std::move(RequestedOptions)), Folder(makeFolder()),
      Platform("standin_platform", {"--max-seconds", ProcessTimeoutSeconds}) {
  PlatformAddress = Platform.waitForLine("listening ");
  startTargets();
  Config["workspaces"] = {{"w1", workspace(100000, 100000)},
                          {"w2", workspace(Options.SecondWorkspaceRate,
                                           Options.SecondWorkspaceBurst)}};
  Config["caller_keys"] = {{"one", callerKey("key-one", "w1", false)},
                           {"two", callerKey("key-two", "w2", false)},
                           {"old", callerKey("key-old", "w1", true)}};
  for (const auto &Name : Options.DataCentres)
    Config["data_centres"][Name] = Json::object();
  Config["services"] = describeServices();
  for (const auto &Name : Options.Services)
    Config["routes"][Name] = {{"path_prefix", '/' + Name}, {"service", Name}};
  if (Config["services"].contains("orders"))
    Config["routes"]["public"] = {
        {"path_prefix", "/public"}, {"service", "orders"}, {"open", true}};
  applyConfig();
  startInstances();
}

Fleet::~Fleet() {
  Instances.clear();
  Targets.clear();
  std::error_code Error;
  std::filesystem::remove_all(Folder, Error);
}

auto Fleet::startTargets() -> void {
  for (const auto &Service : Options.Services)
    for (const auto &DataCentre : Options.DataCentres)
      for (unsigned Index = 1; Index <= Options.TargetsPerDataCentre; ++Index) {
        auto Name = Service;
        Name.append("-")
            .append(DataCentre)
            .append("-")
            .append(std::to_string(Index));
        std::vector<std::string> Arguments = {
            "--name",        Name,
            "--run-log",     (Folder / (Name + ".runs")).string(),
            "--max-seconds", ProcessTimeoutSeconds};
        if (Service == "content")
          Arguments.emplace_back("--verified");
        Arguments.insert(Arguments.end(), Options.TargetArguments.begin(),
                         Options.TargetArguments.end());
        Targets.emplace(
            Name,
            Target{ChildProcess("standin_target", Arguments), {}, DataCentre});
      }
  for (auto &[Name, Entry] : Targets)
    Entry.Address = Entry.Process.waitForLine("listening ");
}

auto Fleet::describeServices() -> Json {
  Json Services;
  for (const auto &Service : Options.Services) {
    auto &Entry = Services[Service];
    Entry["kind"] = Service == "orders" ? "undivided" : "divided";
    // A longer ramp after the cold start would hide the effects under test.
    Entry["cold_start_ramp_ms"] = 1;
    if (Service != "orders")
      Entry["slices"] = 32;
    if (Service == "stock") {
      Entry["verification"] = "unverified";
      Entry["default_deadline_ms"] = 500;
      Entry["max_deadline_ms"] = 500;
    }
    for (const auto &[Name, Process] : Targets)
      if (Name.starts_with(Service + '-'))
        Entry["targets"][Name] = {{"address", Process.Address},
                                  {"data_centre", Process.DataCentre}};
  }
  return Services;
}

auto Fleet::startInstances() -> void {
  for (const auto &DataCentre : Options.DataCentres)
    for (unsigned Index = 1; Index <= Options.InstancesPerDataCentre; ++Index) {
      auto Name = std::string("i-");
      Name.append(DataCentre).append("-").append(std::to_string(Index));
      const Json Settings = {
          {"instance", Name},
          {"data_centre", DataCentre},
          {"failure_domain", DataCentre + "-rack-" + std::to_string(Index)},
          {"caller_address", "127.0.0.1:0"},
          {"admin_address", "127.0.0.1:0"},
          {"link_address", "127.0.0.1:0"},
          {"platform_address", PlatformAddress}};
      const auto Path = Folder / (Name + ".json");
      std::ofstream(Path) << Settings.dump();
      Instances.push_back(
          {ChildProcess("buckthornringd", {"--settings", Path.string()}),
           Name,
           DataCentre,
           {},
           {}});
    }
  for (auto &Entry : Instances) {
    const auto Line = Entry.Process.waitForLine("listening ");
    Entry.CallerAddress = fieldValue(Line, "caller");
    Entry.AdminAddress = fieldValue(Line, "admin");
  }
}

auto Fleet::hasConverged(std::string &NotReadyReason) -> bool {
  for (const auto &Entry : Instances) {
    const auto Status = Control.fetchJson(Entry.AdminAddress, "/status");
    if (Status.is_object() && Status.contains("peers") &&
        Status["peers"].size() + 1 == Instances.size() &&
        (Options.InstancesPerDataCentre < 2 ||
         !Status.value("deputy", "").empty()))
      continue;
    NotReadyReason = Entry.Name + " does not report all peers and a deputy";
    return false;
  }
  return true;
}

auto Fleet::waitUntilServing() -> bool {
  std::string NotReadyReason;
  const auto Serves = [&] {
    if (!hasConverged(NotReadyReason))
      return false;
    for (std::size_t Index = 0; Index < Instances.size(); ++Index)
      for (const auto &Service : Options.Services)
        for (int Key = 0; Key < 8; ++Key) {
          const auto Path = '/' + Service + "/probe-" + std::to_string(Key);
          const auto Outcome =
              call(Index, "GET", Path, {{"Btr-Deadline-Ms", "300"}});
          if (Outcome.Response.Status == 200)
            continue;
          NotReadyReason = Instances[Index].Name + ' ' + Path + ": " +
                           std::to_string(Outcome.Response.Status) + ' ' +
                           headerOf(Outcome, "Btr-Refusal") + ' ' +
                           Outcome.Reason;
          return false;
        }
    return true;
  };
  if (waitUntil(Serves, std::chrono::seconds(20)))
    return true;
  for (const auto &Entry : Instances)
    NotReadyReason +=
        '\n' + Control.get(Entry.AdminAddress, "/status").Response.Body;
  ADD_FAILURE() << "the fleet does not serve: " << NotReadyReason;
  return false;
}

auto Fleet::call(std::size_t Instance, const std::string &Method,
                 const std::string &Path, HttpHeaders Extra) -> HttpOutcome {
  if (!Extra.contains("X-Caller-Key"))
    Extra.add("X-Caller-Key", "key-one");
  return Control.send(Instances.at(Instance).CallerAddress,
                      {Method, Path, std::move(Extra), {}});
}

auto Fleet::servedBy(std::size_t Instance, const std::string &Path)
    -> std::string {
  const auto Outcome =
      call(Instance, "GET", Path, {{"Btr-Deadline-Ms", "300"}});
  const auto Body = Json::parse(Outcome.Response.Body, nullptr, false);
  if (Outcome.Response.Status != 200 || !Body.is_object())
    return {};
  return Body.value("target", "");
}

auto Fleet::applyConfig() -> void {
  HttpRequest Request;
  const auto Object = "/v1/objects/" + std::string(ConfigRecord::ObjectName);
  std::optional<ConfigRecord> Previous;
  const auto Current = Control.get(PlatformAddress, Object);
  if (Current.Response.Status == 200) {
    auto Parsed = ConfigRecord::parse(Current.Response.Body);
    ASSERT_TRUE(Parsed);
    Previous = std::move(Parsed).value();
  }
  const auto Record = ConfigRecord::next(Previous ? &*Previous : nullptr,
                                         SettingsDocument(Config, {}),
                                         "test-" + std::to_string(Generation));
  ASSERT_TRUE(Record);
  Request = {"PUT", Object, {}, Record->text()};
  if (Previous)
    Request.Headers.add("If-Match", headerOf(Current, "ETag"));
  else
    Request.Headers.add("If-None-Match", "*");
  ASSERT_EQ(Control.send(PlatformAddress, Request).Response.Status, 200U);
  Generation = Record->generation();
}

auto Fleet::generationInForce(std::size_t Instance) -> std::uint64_t {
  const auto Status =
      Control.fetchJson(Instances.at(Instance).AdminAddress, "/status");
  return Status.is_object() ? Status.value("generation", std::uint64_t{0}) : 0;
}

auto Fleet::setPlatformFaults(const Json &Faults) -> void {
  ASSERT_EQ(
      Control.post(PlatformAddress, "/faults", Faults.dump()).Response.Status,
      200U);
}

auto Fleet::runs() const -> std::vector<RecordedRun> {
  std::vector<RecordedRun> Runs;
  for (const auto &[Name, Unused] : Targets) {
    std::ifstream File(Folder / (Name + ".runs"));
    for (std::string Line; std::getline(File, Line);) {
      const auto Entry = Json::parse(Line, nullptr, false);
      if (!Entry.is_object())
        continue;
      RecordedRun Run;
      Run.Target = Name;
      Run.Path = Entry["path"];
      Run.Workspace = Entry["workspace"];
      Run.Slice = Entry["slice"];
      const auto Epoch = Entry["epoch"].get<std::string>();
      if (const auto Dot = Epoch.find('.'); Dot != std::string::npos)
        Run.Epoch = {std::stoull(Epoch.substr(0, Dot)),
                     std::stoull(Epoch.substr(Dot + 1))};
      Run.SawCallerKey = Entry["caller_key"];
      Run.StartedUs = Entry["started_us"];
      Runs.push_back(std::move(Run));
    }
  }
  std::sort(Runs.begin(), Runs.end(), [](const auto &Left, const auto &Right) {
    return Left.StartedUs < Right.StartedUs;
  });
  return Runs;
}

auto Fleet::expectRunInvariants() const -> void {
  std::map<std::pair<std::string, std::string>, RecordedRun> Latest;
  for (const auto &Run : runs()) {
    EXPECT_FALSE(Run.SawCallerKey) << Run.Target << ' ' << Run.Path;
    if (Run.Slice.empty())
      continue;
    const auto Service = Run.Target.substr(0, Run.Target.find('-'));
    auto &Previous = Latest[{Service, Run.Slice}];
    EXPECT_LE(Previous.Epoch, Run.Epoch)
        << Run.Target << " ran slice " << Run.Slice << " although "
        << Previous.Target << " had run it under a later epoch";
    if (Previous.Epoch == Run.Epoch && !Previous.Target.empty()) {
      EXPECT_EQ(Previous.Target, Run.Target)
          << "slice " << Run.Slice << " has two owners in one epoch";
    }
    Previous = Run;
  }
}

auto headerOf(const HttpOutcome &Outcome, std::string_view Name)
    -> std::string {
  return std::string(Outcome.Response.Headers.find(Name).value_or("none"));
}

} // namespace buckthornring::test
