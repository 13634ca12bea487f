#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Value of the platform object terms/DC. JSON:
/// {"term","leader","deputy","unsettled":[instances]}.
///
/// An identifier names one process start of an instance ("id#random"). A
/// restarted process has lost its copy and its memory of confirmations, so it
/// must not be taken for the recorded leader or deputy.
struct TermRecord {
  std::uint64_t Term = 0;
  InstanceId Leader;
  InstanceId Deputy; ///< Empty when none is recorded.
  /// Leaders and deputies that a third instance replaced and that have not
  /// acknowledged a later term. No time bound ends their renewals, so later
  /// leaders must know of them.
  std::vector<InstanceId> Unsettled;

  friend auto operator==(const TermRecord &, const TermRecord &)
      -> bool = default;
};

auto termRecordText(const TermRecord &Record) -> std::string;

/// Fails on text that is not such an object.
auto parseTermRecord(std::string_view Text) -> Result<TermRecord>;

/// Returns "terms/DC".
auto termObjectName(const DataCentreId &DataCentre) -> std::string;

} // namespace buckthornring
