#include "Entry/TargetMonitor.h"

#include "IO/SteadyTime.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornring {

namespace {

/// A drain has to stop new work within 2 s; this leaves time for a lost call.
constexpr auto AskInterval = std::chrono::milliseconds(500);
constexpr Duration CallLimit = std::chrono::milliseconds(400);
constexpr unsigned MissedLimit = 3;

auto getOf(const char *Target) -> HttpRequest {
  HttpRequest Request;
  Request.Target = Target;
  return Request;
}

auto parse(const HttpOutcome &Outcome) -> nlohmann::json {
  if (!Outcome.done() || Outcome.Response.Status != 200)
    return nullptr;
  auto Body = nlohmann::json::parse(Outcome.Response.Body, nullptr, false);
  return Body.is_object() ? Body : nlohmann::json();
}

auto textAt(const nlohmann::json &Body, const char *Name) -> std::string {
  const auto Place = Body.find(Name);
  return Place != Body.end() && Place->is_string() ? Place->get<std::string>()
                                                   : "";
}

auto numberAt(const nlohmann::json &Body, const char *Name) -> double {
  const auto Place = Body.find(Name);
  return Place != Body.end() && Place->is_number() ? Place->get<double>() : 0;
}

} // namespace

TargetMonitor::TargetMonitor(boost::asio::io_context &Context, DataCentreId Own,
                             std::function<void()> OnChanged)
    : Context(Context), Own(std::move(Own)), OnChanged(std::move(OnChanged)),
      Timer(Context) {
  scheduleTick();
}

TargetMonitor::~TargetMonitor() { *Alive = false; }

auto TargetMonitor::setConfiguration(const Configuration &Config) -> void {
  std::map<Key, State> Kept;
  for (const auto &[ServiceName, Service] : Config.Services)
    for (const auto &[TargetName, Target] : Service.Targets) {
      if (Target.DataCentre != Own)
        continue;
      const Key Name(ServiceName, TargetName);
      const auto Known = Targets.find(Name);
      State &Of = Kept[Name];
      if (Known != Targets.end() && Known->second.Address == Target.Address) {
        Of = std::move(Known->second);
        continue;
      }
      Of.Address = Target.Address;
      if (auto Client = HttpClient::create(Context, Target.Address,
                                           Unreadable.clientOptions()))
        Of.Client = std::move(Client).value();
      ColdStartRamp::Options Options;
      Options.Slots = Service.SlotsPerTarget;
      Options.Ramp = Service.ColdStartRamp;
      Of.Ramp = std::make_unique<ColdStartRamp>(Options, steadyNow());
    }
  Targets = std::move(Kept);
  for (auto &[Name, Of] : Targets)
    if (Of.Unknown)
      ask(Name, Of);
}

auto TargetMonitor::apply(const ServiceId &Service, const TargetId &Target,
                          TargetCondition &Known) const -> void {
  const auto Place = Targets.find({Service, Target});
  if (Place == Targets.end())
    return;
  const State &Of = Place->second;
  Known.Available = !Of.Draining && Of.Missed < MissedLimit;
  Known.Slots = std::min(Known.Slots, Of.Allowance);
  Known.ReportedLoad = Of.Load;
}

auto TargetMonitor::scheduleTick() -> void {
  Timer.expires_after(AskInterval);
  Timer.async_wait([this, Living = Alive](const auto &Cancelled) {
    if (Cancelled || !*Living)
      return;
    tick();
    scheduleTick();
  });
}

auto TargetMonitor::tick() -> void {
  bool Changed = false;
  for (auto &[Name, Of] : Targets) {
    ask(Name, Of);
    const TimePoint Now = steadyNow();
    const std::uint32_t Allowance =
        Of.Ramp->cold(Now) ? Of.Ramp->allowance(Now) : UINT32_MAX;
    Changed = Changed || Allowance != Of.Allowance;
    Of.Allowance = Allowance;
  }
  if (Changed)
    OnChanged();
}

auto TargetMonitor::ask(const Key &Name, State &Of) -> void {
  if (!Of.Client || Of.Pending)
    return;
  Of.Pending = true;
  HttpCallOptions Options;
  Options.TimeLimit = CallLimit;
  Of.Client->request(getOf("/control/health"), Options,
                     [this, Living = Alive, Name](const HttpOutcome &Outcome) {
                       if (*Living)
                         gotHealth(Name, Outcome);
                     });
  Of.Client->request(getOf("/control/load"), Options,
                     [this, Living = Alive, Name](const HttpOutcome &Outcome) {
                       if (*Living)
                         gotLoad(Name, Outcome);
                     });
}

auto TargetMonitor::find(const Key &Name) -> State * {
  const auto Place = Targets.find(Name);
  return Place == Targets.end() ? nullptr : &Place->second;
}

auto TargetMonitor::gotHealth(const Key &Name, const HttpOutcome &Outcome)
    -> void {
  State *Of = find(Name);
  if (!Of)
    return;
  Of->Pending = false;
  const bool Before = Of->Draining || Of->Missed >= MissedLimit;
  const std::uint32_t Allowed = Of->Allowance;
  if (Outcome.done()) {
    Of->Missed = 0;
    readHealth(*Of, Outcome.Response.Body);
  } else {
    ++Of->Missed;
  }
  const bool After = Of->Draining || Of->Missed >= MissedLimit;
  if (Before != After || Allowed != Of->Allowance)
    OnChanged();
}

auto TargetMonitor::readHealth(State &Of, const std::string &Body) -> void {
  const auto Report = nlohmann::json::parse(Body, nullptr, false);
  if (!Report.is_object())
    return;
  Of.Unknown = false;
  Of.Draining = textAt(Report, "state") == "draining";
  // A target that says it is warm when it is first seen needs no ramp. A
  // change of the start identifier always begins one.
  const auto Cold = Report.find("cold");
  std::optional<Duration> Uptime;
  if (Cold != Report.end() && Cold->is_boolean() && !Cold->get<bool>())
    Uptime = Duration::max();
  const TimePoint Now = steadyNow();
  if (const std::string Start = textAt(Report, "start"); !Start.empty())
    Of.Ramp->onHealthReport(Start, Uptime, Now);
  Of.Allowance = Of.Ramp->cold(Now) ? Of.Ramp->allowance(Now) : UINT32_MAX;
}

auto TargetMonitor::gotLoad(const Key &Name, const HttpOutcome &Outcome)
    -> void {
  State *Of = find(Name);
  if (!Of)
    return;
  Of->Load.reset();
  const auto Report = parse(Outcome);
  if (!Report.is_object() || numberAt(Report, "slots") <= 0)
    return;
  const double Load =
      (numberAt(Report, "in_flight") + numberAt(Report, "queued")) /
      numberAt(Report, "slots");
  Of->Load = std::clamp(Load, 0.0, 1.0);
}

} // namespace buckthornring
