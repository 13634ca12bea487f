#include "Gateway/OwnObjects.h"

#include "Fleet/KeyRanges.h"
#include "Gateway/FleetMember.h"
#include "Gateway/Leader.h"
#include "Gateway/RolloutLeader.h"
#include "Rollout/RolloutRecord.h"

namespace buckthornring {

auto addOwnObjects(ObjectSchema &Schema, const std::string &Kind) -> void {
  Schema.add(Kind, {.Name = FleetMember::LeaderObjectName,
                    .Value = FleetMember::leaderObjectParts()});
  Schema.add(Kind, {.Name = Leader::FleetSizeObjectName,
                    .Value = Leader::fleetSizeObjectParts()});
  // A record of many small values may take as much memory as one of as many
  // ranges, so those that are no records are left out.
  Schema.add(Kind, {.Name = std::string(Leader::RangeObjectPrefix),
                    .IsPrefix = true,
                    .Value = RangeRecord::parts(),
                    .Accepts = [](const nlohmann::json &Value) {
                      return static_cast<bool>(RangeRecord::read(Value));
                    }});
  Schema.add(Kind, {.Name = std::string(RolloutLeader::RecordPrefix),
                    .IsPrefix = true,
                    .Value = RolloutRecord::parts()});
}

} // namespace buckthornring
