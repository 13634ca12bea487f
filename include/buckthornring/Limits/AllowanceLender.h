#pragma once

#include "buckthornring/Limits/ShareLedger.h"
#include "buckthornring/Routing/ColdStartRamp.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace buckthornring {

/// Leader's side of one target's concurrent requests: lends the cold-start
/// allowance to the traffic threads of the data centre.
///
/// There is one ledger per start identifier of the target. Requests of an
/// earlier start ended with it, so its shares don't count against the new one,
/// and a share of an earlier start is no permission for the new one.
class AllowanceGiver {
public:
  struct Options {
    ColdStartRamp::Options Ramp;
    /// Units that are lent for a warm target. Equal to the slots when the slots
    /// themselves are to be respected; higher when the target queues itself.
    std::uint32_t WarmUnits = 4;
    /// Longest request deadline of the service.
    Duration UseTail = std::chrono::seconds(30);
    Duration LeasePeriod = std::chrono::seconds(1);
  };

  AllowanceGiver(Options Settings, std::uint64_t Term, TimePoint TermBegan);

  /// Grants are given only before \p Until.
  auto setAuthorityEnd(TimePoint Until) -> void;

  /// The target's health, as polled by the leader itself. Polls follow each
  /// other, so their answers are in order.
  auto ramp() -> ColdStartRamp & { return Ramp; }

  /// Answers a thread's request for the target's start \p StartId; nothing
  /// when the last poll showed another start.
  auto handle(const std::string &StartId, const ShareRequest &Request,
              TimePoint Now) -> std::optional<ShareGrant>;

  /// True once after a thread named another start than the last poll did; the
  /// next poll is then due at once.
  auto takePollWanted() -> bool;

  /// Follows the ramp and takes back expired shares; call every 100 ms.
  auto advance(TimePoint Now) -> void;

private:
  auto units(TimePoint Now) const -> ShareAmount;

  Options Settings;
  std::uint64_t Term;
  TimePoint TermBegan;
  TimePoint Authority = TimePoint::max();
  ColdStartRamp Ramp;
  bool PollWanted = false;
  std::map<std::string, ShareLedger> Ledgers; ///< By start identifier.
};

} // namespace buckthornring
