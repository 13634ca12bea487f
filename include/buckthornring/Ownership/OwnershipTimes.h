#pragma once

#include "buckthornring/Common/Time.h"

namespace buckthornring {

/// Time constants of exclusive ownership, one value for a whole data centre.
struct OwnershipTimes {
  /// Interval of confirmation requests and of lease renewals.
  Duration RenewEvery = std::chrono::milliseconds(150);
  /// Validity of a deputy's confirmation, from the leader's send time.
  Duration ConfirmLease = std::chrono::milliseconds(600);
  /// Target lease, counted from the target clock reading that the grant
  /// echoes. The reading is up to one renewal interval old on arrival, so
  /// about 900 ms remain then.
  Duration TargetLease = std::chrono::milliseconds(1050);
  /// Interval of routing heartbeats.
  Duration HeartbeatEvery = std::chrono::milliseconds(200);
  /// Routing lease, counted from the instance clock reading that the
  /// heartbeat echoes.
  Duration RoutingLease = std::chrono::milliseconds(800);
  /// Renewals after move authority ended.
  Duration RenewOnlyLimit = std::chrono::seconds(30);
  /// Silence of leader and deputy before a third instance takes over.
  Duration ThirdInstanceWait = std::chrono::seconds(5);
  /// Repetition of platform calls that were not answered.
  Duration PlatformRetry = std::chrono::milliseconds(300);
  /// Largest rate difference between two clocks, as a fraction.
  double Drift = 0.01;
};

/// Mechanisms that tests turn off one at a time to show that the checks notice.
/// Production code leaves every value at its default.
struct SafetySwitches {
  bool LeaseWait = true;          ///< Wait for a lost target's lease to end.
  bool Fencing = true;            ///< Announce a term before acting in it.
  bool ReleaseBeforeGrant = true; ///< Wait for a live owner's release.
  bool DriftBound = true;         ///< Stretch waits by the drift bound.
  bool CopyBeforeAct = true;      ///< Wait for the deputy's copy.
  bool RenewOnlyLimit = true;     ///< End renewals without move authority.
  bool RoutingLeaseWait = true;   ///< Wait for instances' routing leases.
  bool EchoedClock = true;        ///< Count leases from the echoed reading.
  bool FenceBeforeKeep = true;    ///< Third instance fences before it renews.
  bool ProofAfterRestart = true;  ///< Prove the term before new starts grant.
  bool LapseWait = true;          ///< Wait for leases that the deputy renewed.
  bool KeepUnsettled = true;      ///< Remember replaced pairs over terms.
};

} // namespace buckthornring
