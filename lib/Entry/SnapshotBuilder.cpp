#include "Entry/SnapshotBuilder.h"

namespace buckthornring {

namespace {

/// Whether \p DataCentre takes new work. One that is not configured does:
/// only an explicit take-out stops it.
auto isInService(const Configuration &Config, const DataCentreId &DataCentre)
    -> bool {
  const auto Place = Config.DataCentres.find(DataCentre);
  return Place == Config.DataCentres.end() ||
         Place->second.State == ServingState::InService;
}

auto inFlightOf(const SnapshotInputs &From, const ServiceId &Name)
    -> std::shared_ptr<InFlightTable> {
  const auto Place = From.InFlight.find(Name);
  return Place == From.InFlight.end() ? nullptr : Place->second;
}

auto viewOf(const SnapshotInputs &From, const ServiceId &Name,
            const ServiceConfig &Service) -> ServiceView {
  ServiceView View{
      Name, &Service, {}, {}, From.Gates.service(Name), inFlightOf(From, Name)};
  for (const auto &[Id, Target] : Service.Targets) {
    const TargetCondition Condition = From.Conditions(Name, Id, Service);
    const bool InService = Target.State == ServingState::InService &&
                           isInService(*From.Index->Config, Target.DataCentre);
    View.Targets.push_back({Id, &Target, Condition.Available && InService,
                            Target.DataCentre == From.Own, Condition.Slots,
                            Condition.Connections, Condition.ReportedLoad,
                            From.Gates.target(Name, Id)});
  }
  if (Service.Kind == ServiceKind::Divided)
    View.Owners = From.Owners.owners(View);
  return View;
}

} // namespace

auto buildSnapshot(const SnapshotInputs &From)
    -> std::shared_ptr<const RoutingSnapshot> {
  auto Snapshot = std::make_shared<RoutingSnapshot>();
  Snapshot->Index = From.Index;
  Snapshot->Version = From.Version;
  Snapshot->Own = From.Own;
  for (const PeerIdentity &Peer : From.Peers) {
    if (Peer.DataCentre == From.Own || Peer.CallerAddress.empty())
      continue;
    const TargetId Id(Peer.Process.str());
    Snapshot->Relays[Peer.DataCentre].push_back(
        {Id, Peer.CallerAddress, From.Gates.target(ServiceId(), Id)});
  }
  for (const auto &[Name, Workspace] : Snapshot->config().Workspaces)
    if (From.Stale(Workspace))
      Snapshot->Stale.insert(Name);
  for (const auto &[Name, Service] : Snapshot->config().Services)
    Snapshot->Services.emplace(Name, viewOf(From, Name, Service));
  return Snapshot;
}

} // namespace buckthornring
