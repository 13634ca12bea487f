#pragma once

#include "Gateway/RequestContext.h"
#include "buckthornring/Observe/Reasons.h"

#include <optional>
#include <string_view>

namespace buckthornring {

/// What the configuration says of a request.
struct ResolvedRequest {
  const RouteConfig *Route = nullptr; ///< Lives as long as the configuration.
  WorkspaceId Workspace;              ///< Empty on open routes.
  bool Idempotent = true;
  std::uint32_t Priority = 0;
  std::optional<RefusalReason> Refusal; ///< Unknown route or caller key.
};

/// Finds the route and the workspace of a request. \p Path may have a query.
auto resolveRequest(const ActiveConfig &Config, std::string_view Host,
                    std::string_view Path,
                    std::optional<std::string_view> CallerKey)
    -> ResolvedRequest;

/// Sets the workspace of a request and what follows from it.
auto enterWorkspace(const ActiveConfig &Config, const WorkspaceId &Workspace,
                    ResolvedRequest &Out) -> void;

/// Whether the keys of the service are divided among its targets.
auto isDivided(const ActiveConfig &Config, const ServiceId &Service) -> bool;
/// Returns the key of a request to a divided service, or nothing if it is
/// missing or no key of the service.
auto parseKey(const ActiveConfig &Config, const ServiceId &Service,
              std::optional<std::string_view> Text)
    -> std::optional<std::uint32_t>;

/// Longest wait of a request for a target.
auto targetWaitLimit(const RouteConfig &Route, bool Divided) -> Duration;

/// What decides to which target a request is sent.
struct SelectionRequest {
  TargetRequest Preference;
  std::optional<std::uint32_t> Key; ///< For divided services.
  bool Suspected = false;           ///< Targets may have crashed by it.
  /// It has not been sent to a target yet.
  bool FirstSend = true;
};

/// Selects the target of the next send. \p Targets is the table of the context
/// or a copy of it, which does not change the choices that follow.
auto selectTarget(const RequestContext &Context, TargetTable &Targets,
                  const SelectionRequest &Request, TimePoint Now)
    -> TargetSelection;

/// Returns the range of a key, or null if there is none with an owner.
auto ownedRange(const RequestContext &Context, const ServiceId &Service,
                std::uint32_t Key) -> const KeyRange *;

/// Returns the owner of a key; null while it has none or is about to get its
/// grant.
auto ownerOf(const RequestContext &Context, const TargetTable &Targets,
             const ServiceId &Service, std::uint32_t Key, TimePoint Now)
    -> TargetPtr;

} // namespace buckthornring
