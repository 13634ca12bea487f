#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Ownership/OwnershipAction.h"
#include "buckthornring/Ownership/OwnershipTimes.h"
#include "buckthornring/Ownership/TermRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// Another instance of the data centre that can be made deputy.
struct PairCandidate {
  InstanceId Id;
  std::string FailureDomain;
};

enum class TermRole { Follower, Deputy, Leader };

/// The lease pair of one data centre, as seen by one instance.
///
/// Keeps the term record, decides when this instance may act as leader, and
/// takes over or replaces the deputy by conditional update of terms/DC.
class TermKeeper {
public:
  TermKeeper(InstanceId Self, std::string FailureDomain,
             const DataCentreId &DataCentre, OwnershipTimes Times,
             SafetySwitches Switches, TimePoint Now);

  auto role() const -> TermRole;
  auto record() const -> const TermRecord & { return Record; }
  /// Highest term seen anywhere; above record().Term when only the number is
  /// known. A leader that sees a higher one acts no more.
  auto highestTerm() const -> std::uint64_t { return HighestTerm; }

  /// True while this instance may change assignments. A leader without a
  /// deputy may do so without time limit: a third instance touches no lease
  /// before all targets or this instance have acknowledged its term.
  auto mayMove(TimePoint Now) const -> bool;

  /// End of the move authority that the last confirmation gives; the maximum
  /// without a deputy, whose authority does not end by time.
  auto moveAuthorityEnd() const -> TimePoint;

  /// True for a leader that has no deputy to copy assignments to.
  auto withoutDeputy() const -> bool;

  /// True while this instance may extend existing leases.
  auto mayRenew(TimePoint Now) const -> bool;

  /// Instances of earlier terms, each with the time from which it cannot renew
  /// any more; without a time until it acknowledges or the operator confirms
  /// its loss.
  auto previous() const
      -> const std::map<InstanceId, std::optional<TimePoint>> & {
    return Previous;
  }

  /// Returns the time from which no instance of an earlier term renews or
  /// moves, or nothing when there is no bound.
  auto silentAt() const -> std::optional<TimePoint>;

  /// Time at which this leader found that its confirmations had lapsed for so
  /// long that the deputy may have renewed leases meanwhile. Leases may run
  /// from there although this leader did not renew them.
  auto lapsedAt() const -> std::optional<TimePoint> { return LapsedAt; }

  /// True when the answers of the platform arrive.
  auto platformAnswers() const -> bool { return PlatformAnswers; }

  /// Send time of the last conditional update of the term object that took
  /// effect for this leader: the proof that nobody had replaced it then.
  auto provedAt() const -> std::optional<TimePoint> { return ProvedAt; }

  /// Asks for such a proof: rewrites the unchanged record.
  auto requestProof() -> void { ProofWanted = true; }

  auto setCandidates(std::vector<PairCandidate> List) -> void;

  auto tick(TimePoint Now, OwnershipActions &Actions) -> void;

  /// A sign of life of an instance, acting in the given term.
  auto heardFrom(const InstanceId &From, std::uint64_t Term, TimePoint Now)
      -> void;

  auto receive(const InstanceId &From, const TermConfirmRequest &Request,
               TimePoint Now, OwnershipActions &Actions) -> void;
  auto receive(const InstanceId &From, const TermConfirm &Confirm,
               TimePoint Now) -> void;
  auto receive(const InstanceId &From, const TermAnnounce &Announce,
               TimePoint Now, OwnershipActions &Actions) -> void;
  auto receive(const InstanceId &From, const TermAck &Ack, TimePoint Now)
      -> void;
  auto receive(const InstanceId &From, const Resign &Message, TimePoint Now)
      -> void;

  auto objectRead(const ReadAnswer &Answer, TimePoint Now,
                  OwnershipActions &Actions) -> void;
  auto objectWritten(const WriteAnswer &Answer, TimePoint Now) -> void;

  /// Learns that some instance acted in a term.
  auto learnTerm(std::uint64_t Term) -> void;

  /// The operator confirms that an instance of an earlier term runs no more.
  auto confirmLost(const InstanceId &Instance, TimePoint Now) -> void;

  /// Gives up the role (graceful shutdown). It is never taken again.
  auto resign(TimePoint Now, OwnershipActions &Actions) -> void;

private:
  auto stretched(Duration Span) const -> Duration;
  auto superseded() const -> bool { return HighestTerm > Record.Term; }
  auto quiet(TimePoint Now) const -> bool;
  auto noteLapse(TimePoint Now) -> void;
  auto adopt(const TermRecord &Seen, TimePoint Now) -> void;
  auto won(const TermRecord &Old, const TermRecord &New, TimePoint Now) -> void;
  auto deputyMayTake(TimePoint Now) const -> bool;
  auto thirdMayTake(TimePoint Now) const -> bool;
  auto wantsDeputy(TimePoint Now) const -> bool;
  auto wantsUpdate(TimePoint Now) const -> bool;
  auto chooseDeputy(TimePoint Now) const -> InstanceId;
  auto nextRecord(TimePoint Now) const -> TermRecord;
  auto write(TimePoint Now, OwnershipActions &Actions) -> void;
  auto sendConfirmRequest(TimePoint Now, OwnershipActions &Actions) -> void;

  InstanceId Self;
  std::string FailureDomain;
  std::string ObjectName;
  OwnershipTimes Times;
  SafetySwitches Switches;
  Duration Spread; ///< Added wait, so that third instances do not race.
  std::vector<PairCandidate> Candidates;

  TermRecord Record;
  std::uint64_t HighestTerm = 0;
  std::uint64_t Version = 0; ///< Newest platform version seen, zero: absent.
  std::map<InstanceId, std::optional<TimePoint>> Previous;
  bool Resigned = false;
  bool LeaderResigned = false;
  bool LeaderQuiet = false;
  bool DeputyResigned = false;

  /// A conditional update whose outcome is not known, with the version that it
  /// replaces. It may take effect at any time while that version is current,
  /// so this instance neither confirms nor moves until the outcome is known.
  struct Attempt {
    TermRecord Value;
    std::uint64_t Base = 0;
    TimePoint SentAt;
  };
  std::optional<Attempt> Pending;
  bool ReadPending = false;
  bool WritePending = false;
  bool ProofPending = false;
  bool ProofWanted = false;
  bool PlatformAnswers = true;
  TimePoint ReadAt;
  TimePoint WriteAt;
  std::optional<TimePoint> ProvedAt;

  std::uint64_t NextNumber = 0;
  std::map<std::uint64_t, TimePoint> RequestsSent;
  TimePoint LastRequest;
  TimePoint ConfirmedFrom;      ///< Leader: send time of the confirmed request.
  std::int64_t DeputyClock = 0; ///< Leader: last reading of the deputy's clock.
  TimePoint DeputyHeard;        ///< Leader: when that reading arrived.
  std::optional<TimePoint> LapsedAt;
  TimePoint QuietAfter;      ///< Bound of the predecessors when a lead ended.
  bool DeputyEchoed = false; ///< Leader: a reading was echoed.
  TimePoint ConfirmedAt;     ///< Deputy: last confirmation sent.
  std::optional<TimePoint> LeaderContact; ///< Deputy: echoed reading.
  TimePoint PairHeard; ///< Follower: last sign of leader or deputy.
  std::map<InstanceId, TimePoint> Unresponsive; ///< Deputies that were lost.
};

} // namespace buckthornring
