#include "Ownership/GrantQueue.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

auto GrantQueue::grant(const TargetId &Target, std::uint32_t Slice) -> void {
  Entry &Each = Targets[Target];
  Each.Releases.erase(Slice);
  Each.Grants[Slice] = 0;
}

auto GrantQueue::release(const TargetId &Target, std::uint32_t Slice) -> void {
  Entry &Each = Targets[Target];
  Each.Grants.erase(Slice);
  Each.Releases.emplace(Slice, 0);
}

auto GrantQueue::unsent(const TargetId &Target) const -> bool {
  const auto Place = Targets.find(Target);
  if (Place == Targets.end())
    return false;
  const auto Unsent = [](const auto &Each) { return Each.second == 0; };
  const auto &[Grants, Releases] = Place->second;
  return std::any_of(Grants.begin(), Grants.end(), Unsent) ||
         std::any_of(Releases.begin(), Releases.end(), Unsent);
}

auto GrantQueue::fill(LeaseMessage &Message, const SliceMap &Map) -> void {
  const auto Place = Targets.find(Message.Target);
  if (Place == Targets.end())
    return;
  for (auto &[Slice, First] : Place->second.Grants) {
    invariant(Map.at(Slice).Owner == Message.Target && Map.at(Slice).Serving,
              "a slice is granted only to its recorded owner");
    Message.Grant.push_back({Slice, Map.at(Slice).At});
    First = First == 0 ? Message.Sequence : First;
  }
  for (auto &[Slice, First] : Place->second.Releases) {
    Message.Release.push_back({Slice, Map.at(Slice).At});
    First = First == 0 ? Message.Sequence : First;
  }
}

auto GrantQueue::skip(const TargetId &Target) -> void {
  const auto Place = Targets.find(Target);
  if (Place == Targets.end())
    return;
  for (auto &[Slice, First] : Place->second.Grants)
    First = 0;
  for (auto &[Slice, First] : Place->second.Releases)
    First = 0;
}

auto GrantQueue::applied(const TargetId &Target, std::uint64_t Sequence)
    -> void {
  const auto Place = Targets.find(Target);
  if (Place == Targets.end())
    return;
  const auto Done = [&](const auto &Each) {
    return Each.second != 0 && Each.second <= Sequence;
  };
  std::erase_if(Place->second.Grants, Done);
  std::erase_if(Place->second.Releases, Done);
}

auto GrantQueue::released(const TargetId &Target, std::uint32_t Slice) const
    -> bool {
  const auto Place = Targets.find(Target);
  return Place == Targets.end() || !Place->second.Releases.contains(Slice);
}

} // namespace buckthornring
