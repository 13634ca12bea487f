#pragma once

#include "Fleet/StoreRevision.h"
#include "Gateway/Protocol.h"

namespace buckthornring {

/// Returns the era of the store in which the writer of one of the router's own
/// objects knew the store; 0 if the object does not say.
inline auto writtenInEra(const StoredObject &Object) -> std::uint64_t {
  if (!Object.Value.is_object())
    return 0;
  const auto Era = Object.Value.find("era");
  return Era != Object.Value.end() && Era->is_number_unsigned()
             ? Era->get<std::uint64_t>()
             : 0;
}

/// Whether one of the router's own objects was written in an earlier era than
/// the one in which it is in the store: it comes from a copy, or from a late
/// write whose condition held because revisions are given out again.
inline auto fromEarlierEra(const StoredObject &Object) -> bool {
  return writtenInEra(Object) != eraOf(Object.Revision);
}

} // namespace buckthornring
