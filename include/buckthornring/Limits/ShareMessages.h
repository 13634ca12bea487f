#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Limits/TokenBucket.h"

#include <cstdint>
#include <string>

namespace buckthornring {

/// What a fleet-wide quantity counts.
enum class ShareKind {
  Rate,  ///< Tokens: a rate and a burst; a used token is gone.
  Units, ///< Slots, connections, cold-start allowance: used and given back.
};

inline constexpr EnumNames<ShareKind, 2> ShareKindNames({"rate", "units"});

/// A part of a fleet-wide quantity.
struct ShareAmount {
  MilliUnits Rate = 0;  ///< Milli-units per second; zero for ShareKind::Units.
  MilliUnits Units = 0; ///< Burst capacity, or number of slots.

  friend auto operator==(const ShareAmount &, const ShareAmount &)
      -> bool = default;
};

/// Holder to giver: what it holds and wants. Sent every 100 ms and at once when
/// requests wait. Safe to lose, repeat, delay and reorder.
struct ShareRequest {
  std::string Holder; ///< One per traffic thread: "instance/thread".
  /// Rises when the holder dropped its share (start, expired lease).
  std::uint64_t Session = 0;
  std::uint64_t Term = 0;     ///< Term of the giver that this is meant for.
  std::uint64_t Sequence = 0; ///< Rises with each request of a session.
  std::uint64_t AppliedVersion = 0; ///< Last grant of this term put in force.
  ShareAmount Held;                 ///< In force, or still in use if more.
  MilliUnits ReleasedTotal = 0;     ///< Tokens given back in this term.
  MilliUnits WantedRate = 0;        ///< Observed demand per second.
  MilliUnits WantedUnits = 0;       ///< Tokens or units that requests wait for,
                                    ///< with those in use for Units.
};

/// Giver to holder: the share in force from receipt until the lease ends.
struct ShareGrant {
  std::string Holder;
  std::uint64_t Session = 0;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0; ///< Of the request that this answers.
  std::uint64_t Version = 0;  ///< Rises with each changed grant of a session.
  ShareAmount Share;
  MilliUnits GrantedTotal = 0; ///< Tokens given in this session and term.
  /// Counted by the holder from its send of the answered request.
  Duration LeasePeriod{};
  /// The giver does not know the session; the holder drops its share.
  bool Rejected = false;
};

} // namespace buckthornring
