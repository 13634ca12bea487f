#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Limits/TokenBucket.h"

#include <cstdint>
#include <string>

namespace buckthornring {

/// Kind of a fleet-wide quantity.
enum class ShareKind {
  Rate,  ///< Tokens with a rate and a burst; a used token does not return.
  Units, ///< Slots, connections, cold-start allowance: acquired and released.
};

inline constexpr EnumNames<ShareKind, 2> ShareKindNames({"rate", "units"});

/// A part of a fleet-wide quantity.
struct ShareAmount {
  MilliUnits Rate = 0;  ///< Milli-units per second; zero for ShareKind::Units.
  MilliUnits Units = 0; ///< Burst capacity, or number of slots.

  friend auto operator==(const ShareAmount &, const ShareAmount &)
      -> bool = default;
};

/// Message from a holder to the lender: the share that it holds and its demand.
/// Sent every 100 ms, and at once when requests wait. Safe to lose, repeat,
/// delay and reorder.
struct ShareRequest {
  std::string Holder; ///< One per traffic thread: "instance/thread".
  /// Rises whenever the holder drops its share (process start, expired lease).
  std::uint64_t Session = 0;
  std::uint64_t Term = 0;     ///< Term of the lender that this is meant for.
  std::uint64_t Sequence = 0; ///< Rises with each request of a session.
  std::uint64_t AppliedVersion = 0; ///< Last grant of this term in force.
  ShareAmount Held;                 ///< In force, or still in use if more.
  MilliUnits ReleasedTotal = 0;     ///< Tokens returned in this term.
  MilliUnits WantedRate = 0;        ///< Observed demand per second.
  MilliUnits WantedUnits = 0;       ///< Tokens or units that requests wait for,
                                    ///< with those in use for Units.
};

/// Message from the lender to a holder: the share in force from receipt until
/// the lease ends.
struct ShareGrant {
  std::string Holder;
  std::uint64_t Session = 0;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0; ///< Sequence of the answered request.
  std::uint64_t Version = 0;  ///< Rises with each changed grant of a session.
  ShareAmount Share;
  MilliUnits GrantedTotal = 0; ///< Tokens granted in this session and term.
  /// Counted by the holder from its send of the answered request.
  Duration LeasePeriod{};
  /// The lender does not know the session; the holder drops its share.
  bool Rejected = false;
};

} // namespace buckthornring
