#include "Rollout/VersionAdmission.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Time after a service is first seen within which its targets' records are
/// read. Versions that appear later are new.
constexpr Duration FirstReadPeriod = std::chrono::seconds(2);

} // namespace

auto VersionAdmission::observe(SlotsByVersion Current, TimePoint Now) -> void {
  Ready = std::move(Current);
  if (Ready.empty())
    return;
  if (!FirstSeenAt)
    FirstSeenAt = Now;
  const bool BaseGone = !BaseOrdered && !has(Base);
  if (Now - *FirstSeenAt < FirstReadPeriod || BaseGone)
    chooseBase();
  if (has(Base))
    MostBaseSlots = std::max(MostBaseSlots, Ready.at(Base));
}

auto VersionAdmission::chooseBase() -> void {
  Initial.clear();
  std::uint32_t Total = 0;
  for (const auto &[Version, Slots] : Ready) {
    Initial.insert(Version);
    Total += Slots;
  }
  if (BaseOrdered)
    return;
  Base.clear();
  MostBaseSlots = 0;
  // Where each target has a version of its own, none is the version in use.
  for (const auto &[Version, Slots] : Ready) {
    const bool Ordered = Order && Order->To == Version && !Order->ended();
    const bool Most = Base.empty() || Slots > Ready.at(Base);
    if (2 * Slots >= Total && !Ordered && Most)
      Base = Version;
  }
}

auto VersionAdmission::setOrder(const std::optional<RolloutOrder> &Current)
    -> void {
  const bool Replaced =
      Order && !Order->ended() && (!Current || Current->To != Order->To);
  if (Replaced && Order->To != Base)
    Rejected.insert(Order->To);
  Order = Current;
  if (!Order)
    return;
  if (!Order->ended()) {
    Rejected.erase(Order->To);
  } else if (Order->State == RolloutState::Succeeded) {
    Rejected.erase(Order->To);
    if (Base != Order->To)
      MostBaseSlots = 0;
    Base = Order->To;
    BaseOrdered = true;
  } else {
    Rejected.insert(Order->To);
  }
}

auto VersionAdmission::setBase(const std::string &Version) -> void {
  const bool Known =
      Order && Order->State == RolloutState::Succeeded && Order->ended();
  if (Version.empty() || Known)
    return;
  if (Base != Version)
    MostBaseSlots = has(Version) ? Ready.at(Version) : 0;
  Base = Version;
  BaseOrdered = true;
}

auto VersionAdmission::baseRule() const -> VersionRule {
  if (!Base.empty() && has(Base))
    return {false, {Base}};
  VersionRule Others{true, Rejected};
  if (Order && !Order->ended())
    Others.Versions.insert(Order->To);
  return Others;
}

auto VersionAdmission::rule(RolloutStage Stage) const -> VersionRule {
  if (!Order) {
    VersionRule Rule{true, Rejected};
    if (!has(Base) || Ready.at(Base) < MostBaseSlots)
      return Rule;
    for (const auto &[Version, Slots] : Ready)
      if (Version != Base && !Initial.contains(Version))
        Rule.Versions.insert(Version);
    return Rule;
  }
  const bool Moved = Order->ended()
                         ? Order->State == RolloutState::Succeeded
                         : Stage == RolloutStage::Complete || Order->To == Base;
  if (!Moved)
    return baseRule();
  // A service whose targets were all replaced later is served by the others.
  if (Order->ended() && !has(Order->To))
    return {true, Rejected};
  return {false, {Order->To}};
}

} // namespace buckthornring
