#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornring {

/// Value of the platform object terms/DC. JSON: {"term","leader","deputy"}.
///
/// An identifier names one process start of an instance ("id#random"). A
/// restarted process has lost its copy and its memory of confirmations, so it
/// must not be taken for the recorded leader or deputy.
struct TermRecord {
  std::uint64_t Term = 0;
  InstanceId Leader;
  InstanceId Deputy; ///< Empty when none is recorded.

  friend auto operator==(const TermRecord &, const TermRecord &)
      -> bool = default;
};

auto termRecordText(const TermRecord &Record) -> std::string;

/// Fails on text that is not such an object.
auto parseTermRecord(std::string_view Text) -> Result<TermRecord>;

/// Returns "terms/DC".
auto termObjectName(const DataCentreId &DataCentre) -> std::string;

} // namespace buckthornring
