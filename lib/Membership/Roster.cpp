#include "buckthornring/Membership/Roster.h"

namespace buckthornring {

namespace {

// Longer than the usual lag of the platform's list. Until it ends, a peer that
// is gone costs a few failed connection attempts.
constexpr Duration HeardRetentionPeriod = std::chrono::seconds(10);

} // namespace

auto Roster::applyList(const std::vector<InstanceEntry> &List, TimePoint Now)
    -> void {
  for (auto &[Id, Tracked] : Entries)
    Tracked.Listed = false;
  for (const InstanceEntry &Entry : List) {
    TrackedInstance &Tracked = Entries[Entry.Id];
    const bool HeardRecently =
        Tracked.LastHeardAt &&
        Now - *Tracked.LastHeardAt <= HeardRetentionPeriod;
    Tracked.Listed = true;
    if (!HeardRecently)
      Tracked.Entry = Entry;
    if (Entry.State == InstanceState::Leaving)
      Tracked.Entry.State = InstanceState::Leaving;
  }
  std::erase_if(Entries, [&](const auto &Item) {
    const TrackedInstance &Tracked = Item.second;
    return !Tracked.Listed &&
           !(Tracked.LastHeardAt &&
             Now - *Tracked.LastHeardAt <= HeardRetentionPeriod);
  });
}

auto Roster::recordPeer(const InstanceEntry &Peer, TimePoint Now) -> void {
  TrackedInstance &Tracked = Entries[Peer.Id];
  Tracked.Entry = Peer;
  Tracked.LastHeardAt = Now;
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
  for (const auto &[Id, Tracked] : Entries)
    if (Id != LocalInstance && Tracked.Entry.DataCentre == DataCentre &&
        Tracked.Entry.State == InstanceState::Live)
      Peers.push_back(Tracked.Entry);
  return Peers;
}

} // namespace buckthornring
