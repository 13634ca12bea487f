#include "buckthornring/Membership/Roster.h"

namespace buckthornring {

namespace {

// Longer than the list's usual lag; a peer that is gone costs a few failed
// connects until then.
constexpr Duration KeepHeard = std::chrono::seconds(10);

} // namespace

auto Roster::applyList(const std::vector<InstanceEntry> &List, TimePoint Now)
    -> void {
  for (auto &[Id, Each] : Entries)
    Each.Listed = false;
  for (const InstanceEntry &Entry : List) {
    Known &Each = Entries[Entry.Id];
    const bool Fresh = Each.Heard && Now - *Each.Heard <= KeepHeard;
    Each.Listed = true;
    if (!Fresh)
      Each.Entry = Entry;
    if (Entry.State == InstanceState::Leaving)
      Each.Entry.State = InstanceState::Leaving;
  }
  std::erase_if(Entries, [&](const auto &Item) {
    const Known &Each = Item.second;
    return !Each.Listed && !(Each.Heard && Now - *Each.Heard <= KeepHeard);
  });
}

auto Roster::heard(const InstanceEntry &Peer, TimePoint Now) -> void {
  Known &Each = Entries[Peer.Id];
  Each.Entry = Peer;
  Each.Heard = Now;
}

auto Roster::find(const InstanceId &Id) const -> std::optional<InstanceEntry> {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return std::nullopt;
  return Found->second.Entry;
}

auto Roster::livePeers(const DataCentreId &DataCentre) const
    -> std::vector<InstanceEntry> {
  std::vector<InstanceEntry> Peers;
  for (const auto &[Id, Each] : Entries)
    if (Id != Own && Each.Entry.DataCentre == DataCentre &&
        Each.Entry.State == InstanceState::Live)
      Peers.push_back(Each.Entry);
  return Peers;
}

} // namespace buckthornring
