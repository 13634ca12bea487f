#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Ownership/Epoch.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// One slice with its epoch. JSON: [slice, term, sequence].
struct SliceEpoch {
  std::uint32_t Slice = 0;
  Epoch At;

  friend auto operator==(const SliceEpoch &, const SliceEpoch &)
      -> bool = default;
};

/// Body of POST /control/lease, sent to a verified target.
///
/// Rules for the target, in this order:
///  1. A term below the highest term seen is refused with StaleTerm. A higher
///     term is remembered at once (fencing); the held slices are kept.
///  2. When Start is not the target's own start identifier, the message only
///     announces the term and may ask for a report. The refusal is OtherStart,
///     or None when Start is empty. A message whose LeaseUs is zero also only
///     announces.
///  3. The lease end becomes max(lease end, ClockUs + LeaseUs) on the target's
///     clock. When the lease had already ended, the held slices were dropped
///     at that moment: a renewal never revives them.
///  4. When ClockUs + LeaseUs is in the past, Grant and Release are not applied
///     and the refusal is Expired.
///  5. Grant and Release are applied only when Sequence is higher than that of
///     every message of this term that passed rule 2's start check before,
///     announcements included. A deputy that only renews sends Sequence zero,
///     which takes no part in this order.
///
/// ClockUs makes the lease independent of network delay and of messages that
/// waited in the receive buffer of a paused target: it is a reading of the
/// target's own clock, returned by the target in an earlier LeaseReply.
struct LeaseMessage {
  TargetId Target;                 ///< "target"
  ServiceId Service;               ///< "service"
  InstanceId Sender;               ///< "sender": leader, or deputy that renews.
  std::uint64_t Term = 0;          ///< "term"
  std::uint64_t Sequence = 0;      ///< "sequence", rises with each message.
  std::string Start;               ///< "start", echoed from the last reply.
  std::int64_t ClockUs = 0;        ///< "clock_us", echoed from the last reply.
  std::int64_t LeaseUs = 0;        ///< "lease_us", zero: announce only.
  std::vector<SliceEpoch> Grant;   ///< "grant", repeated until acknowledged.
  std::vector<SliceEpoch> Release; ///< "release", repeated until acknowledged.
  bool Report = false;             ///< "report": the reply lists Held.
};

/// Why a target did not apply a lease message.
enum class LeaseRefusal { None, StaleTerm, OtherStart, Expired };

inline constexpr EnumNames<LeaseRefusal, 4>
    LeaseRefusalNames({"none", "stale-term", "other-start", "expired"});

/// Reply to POST /control/lease, always status 200.
struct LeaseReply {
  std::uint64_t Term = 0;     ///< "term": highest term seen.
  std::uint64_t Sequence = 0; ///< "sequence" of the message answered.
  /// "applied": highest sequence of this term whose changes were applied; a
  /// message with an unexpired lease and no changes counts too.
  std::uint64_t Applied = 0;
  std::string Start;        ///< "start": identifier of this process start.
  std::int64_t ClockUs = 0; ///< "clock_us": target clock at the reply.
  LeaseRefusal Refusal = LeaseRefusal::None; ///< "refusal"
  bool Reported = false; ///< "reported": Held is complete, not omitted.
  /// "held": slices held under an unexpired lease.
  std::vector<SliceEpoch> Held;
  /// "running": released slices whose requests have not all finished.
  std::vector<std::uint32_t> Running;
  /// "lapses": how often this process dropped its slices because the lease
  /// had ended. A change tells the leader to grant them again.
  std::uint64_t Lapses = 0;
};

/// Returns the JSON text with the field names given above.
auto leaseMessageText(const LeaseMessage &Message) -> std::string;

/// Fails on text that is not such an object, naming the reason.
auto parseLeaseMessage(std::string_view Text) -> Result<LeaseMessage>;

/// Returns the JSON text with the field names given above.
auto leaseReplyText(const LeaseReply &Reply) -> std::string;

/// Fails on text that is not such an object, naming the reason.
auto parseLeaseReply(std::string_view Text) -> Result<LeaseReply>;

} // namespace buckthornring
