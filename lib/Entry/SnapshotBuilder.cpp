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

} // namespace

auto buildSnapshot(std::shared_ptr<const Configuration> Config,
                   const DataCentreId &Own, const TargetConditions &Conditions,
                   const SliceOwnerSource &Owners, std::uint64_t Version,
                   bool Stale) -> std::shared_ptr<const RoutingSnapshot> {
  auto Snapshot = std::make_shared<RoutingSnapshot>(std::move(Config));
  Snapshot->Version = Version;
  Snapshot->Stale = Stale;
  for (const auto &[Name, Service] : Snapshot->Config->Services) {
    ServiceView View{Name, &Service, {}, {}};
    for (const auto &[Id, Target] : Service.Targets) {
      const TargetCondition Condition = Conditions(Name, Id, Service);
      const bool InService = Target.State == ServingState::InService &&
                             isInService(*Snapshot->Config, Target.DataCentre);
      View.Targets.push_back({Id, &Target, Condition.Available && InService,
                              Target.DataCentre == Own, Condition.Slots,
                              Condition.Connections});
    }
    if (Service.Kind == ServiceKind::Divided)
      View.Owners = Owners.owners(View);
    Snapshot->Services.emplace(Name, std::move(View));
  }
  return Snapshot;
}

} // namespace buckthornring
