#pragma once

#include "Common/JsonParts.h"
#include "Rollout/Rollout.h"
#include "buckthornring/Common/Result.h"

#include <nlohmann/json_fwd.hpp>

namespace buckthornring {

/// State of a rollout that the leader writes to the store at each change of
/// stage, from which the next leader continues.
struct RolloutRecord {
  std::uint64_t Order = 0; ///< Revision at which the order was first seen.
  std::string To;
  std::string Base; ///< Version in use before the order.
  Duration Length{0};
  Duration Elapsed{0}; ///< Since the order, by the clocks of the leaders.
  RolloutStage Stage = RolloutStage::Hold;
  std::uint32_t SharePpm = 0;
  std::string Cause; ///< Of the stage.
  std::uint32_t Requests = 0;
  RolloutOutcomes Old; ///< Times are not recorded.
  RolloutOutcomes New;
  std::uint64_t Era = 0; ///< Era of the store that the writer knew.

  auto toJson() const -> nlohmann::json;
  /// The parts of a recorded value that are read.
  static auto parts() -> JsonParts;
  /// Fails on a record that is malformed.
  static auto parse(const nlohmann::json &Value) -> Result<RolloutRecord>;
};

} // namespace buckthornring
