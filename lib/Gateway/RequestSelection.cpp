#include "Gateway/RequestSelection.h"

#include <algorithm>
#include <charconv>

namespace buckthornring {

namespace {

/// A request waits for a target for at most the route's TargetLatency (the
/// latency to be reached, not that of a target) divided by this, or for
/// MinWaitLimit if that is longer. A longer wait costs the caller more than a
/// refusal with Retry-After.
constexpr int WaitDivisor = 8;
constexpr Duration MinWaitLimit = std::chrono::milliseconds(30);

/// The same divisor for all requests to divided services: their key may be in a
/// move, which takes about as long as the requests that run on the keys.
constexpr int MoveWaitDivisor = 2;

/// Time from reading a change of owner during which the new owner is assumed to
/// be without its grant, unless the leader reports the grant earlier
/// (GrantNotice).
constexpr Duration AssumedMovePeriod = std::chrono::milliseconds(700);

} // namespace

auto resolveRequest(const ActiveConfig &Config, std::string_view Host,
                    std::string_view Path,
                    std::optional<std::string_view> CallerKey)
    -> ResolvedRequest {
  ResolvedRequest Out;
  Out.Route = Config.Routes.match(Path.substr(0, Path.find('?')), Host);
  if (!Out.Route) {
    Out.Refusal = RefusalReason::UnknownRoute;
    return Out;
  }
  Out.Idempotent = Out.Route->Idempotent.value_or(true);
  Out.Priority = Out.Route->Priority;
  if (Out.Route->Open || Config.Config.Workspaces.empty())
    return Out;
  const auto *Entry = CallerKey ? Config.Keys.find(*CallerKey) : nullptr;
  if (Entry)
    enterWorkspace(Config, Entry->Workspace, Out);
  else
    Out.Refusal = RefusalReason::UnknownCallerKey;
  return Out;
}

auto enterWorkspace(const ActiveConfig &Config, const WorkspaceId &Workspace,
                    ResolvedRequest &Out) -> void {
  Out.Workspace = Workspace;
  Out.Refusal.reset();
  const auto Settings = Config.Config.Workspaces.find(Workspace);
  if (Settings != Config.Config.Workspaces.end())
    Out.Priority = Settings->second.Priority.value_or(Out.Priority);
}

auto isDivided(const ActiveConfig &Config, const ServiceId &Service) -> bool {
  const auto Settings = Config.Config.Services.find(Service);
  return Settings != Config.Config.Services.end() &&
         Settings->second.Kind == ServiceKind::Divided;
}

auto parseKey(const ActiveConfig &Config, const ServiceId &Service,
              std::optional<std::string_view> Text)
    -> std::optional<std::uint32_t> {
  std::uint64_t Value = 0;
  if (!Text)
    return std::nullopt;
  const char *Last = Text->data() + Text->size();
  const auto [End, Failure] = std::from_chars(Text->data(), Last, Value);
  if (Failure != std::errc() || End != Last ||
      Value >= Config.Config.Services.at(Service).NumberedKeys)
    return std::nullopt;
  return static_cast<std::uint32_t>(Value);
}

auto targetWaitLimit(const RouteConfig &Route, bool Divided) -> Duration {
  return std::max(MinWaitLimit, Route.TargetLatency /
                                    (Divided ? MoveWaitDivisor : WaitDivisor));
}

auto selectTarget(const RequestContext &Context, TargetTable &Targets,
                  const SelectionRequest &Request, TimePoint Now)
    -> TargetSelection {
  const TargetRequest &Preference = Request.Preference;
  if (Request.Key) {
    const TargetPtr Owner =
        ownerOf(Context, Targets, Preference.Service, *Request.Key, Now);
    if (Owner && Context.Rollouts &&
        !Context.Rollouts->admitsOwner(Owner->Record, Now))
      return {};
    return Targets.selectOwner(Owner, Now);
  }
  const auto Select = [&](const TargetRequest &Wanted) {
    return Context.Rollouts ? Context.Rollouts->select(Targets, Wanted,
                                                       Request.FirstSend, Now)
                            : Targets.select(Wanted, Now);
  };
  if (Request.Suspected) {
    TargetRequest Apart = Preference;
    for (const TargetId &Target : Context.Crashes.targetsOfSuspects())
      Apart.ExcludedTargets.push_back(Target);
    TargetSelection Selected = Select(Apart);
    if (Selected.Target)
      return Selected;
  }
  return Select(Preference);
}

auto ownedRange(const RequestContext &Context, const ServiceId &Service,
                std::uint32_t Key) -> const KeyRange * {
  const auto View = Context.Ranges.find(Service);
  if (View == Context.Ranges.end())
    return nullptr;
  const KeyRange *Range = View->second.Record.find(Key);
  return !Range || Range->Owner.empty() ? nullptr : Range;
}

auto ownerOf(const RequestContext &Context, const TargetTable &Targets,
             const ServiceId &Service, std::uint32_t Key, TimePoint Now)
    -> TargetPtr {
  const KeyRange *Range = ownedRange(Context, Service, Key);
  if (!Range)
    return nullptr;
  const RangeView &View = Context.Ranges.at(Service);
  const auto MovingSince = View.MovingSince.find(Range->Fence);
  if (MovingSince != View.MovingSince.end() &&
      Now - MovingSince->second < AssumedMovePeriod)
    return nullptr;
  TargetPtr Owner = Targets.find(Range->Owner);
  if (!Owner || Owner->Record.StartedAtMs != Range->OwnerStartedAt)
    return nullptr;
  return Owner;
}

} // namespace buckthornring
