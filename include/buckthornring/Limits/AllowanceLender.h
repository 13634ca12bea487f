#pragma once

#include "buckthornring/Limits/ShareLedger.h"
#include "buckthornring/Routing/ColdStartRamp.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace buckthornring {

/// The leader's side of the limit on one target's concurrent requests: lends
/// the cold-start allowance to the traffic threads of the data centre.
///
/// There is one ledger per start identifier of the target. Requests to an
/// earlier incarnation ended with it, so shares of the earlier ledger neither
/// count against the new one nor permit requests to it.
class AllowanceLender {
public:
  struct Options {
    ColdStartRamp::Options Ramp;
    /// Units that are lent for a warm target: the number of its slots if these
    /// must not be exceeded, more if the target queues requests itself.
    std::uint32_t WarmUnits = 4;
    /// Longest request deadline of the service.
    Duration MaxUseDuration = std::chrono::seconds(30);
    Duration LeasePeriod = std::chrono::seconds(1);
  };

  AllowanceLender(Options Settings, std::uint64_t Term,
                  TimePoint TermStartedAt);

  /// Grants are given only before \p Until.
  auto setAuthorityEnd(TimePoint Until) -> void;

  /// The ramp, to be updated from the leader's own health polls. Polls do not
  /// overlap, so their results are in order.
  auto ramp() -> ColdStartRamp & { return Ramp; }

  /// Answers a thread's request for the incarnation \p StartId; returns nothing
  /// if the last poll showed another one.
  auto handle(const std::string &StartId, const ShareRequest &Request,
              TimePoint Now) -> std::optional<ShareGrant>;

  /// Returns true once after a thread named another start identifier than the
  /// last poll; the next poll is then due at once.
  auto takePollNeeded() -> bool;

  /// Adjusts the total to the ramp and takes back expired shares. Call it every
  /// 100 ms.
  auto advance(TimePoint Now) -> void;

private:
  auto units(TimePoint Now) const -> ShareAmount;

  Options Settings;
  std::uint64_t Term;
  TimePoint TermStartedAt;
  TimePoint AuthorityEnd = TimePoint::max();
  ColdStartRamp Ramp;
  bool PollNeeded = false;
  std::map<std::string, ShareLedger> Ledgers; ///< By start identifier.
};

} // namespace buckthornring
