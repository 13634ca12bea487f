#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Ownership/OwnershipAction.h"
#include "buckthornring/Ownership/OwnershipTimes.h"
#include "buckthornring/Ownership/TermRecord.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace buckthornring {

/// Another instance of the data centre that can be made deputy.
struct PairCandidate {
  InstanceId Id;
  std::string FailureDomain;
};

enum class TermRole { Follower, Deputy, Leader };

/// What a new leader knows about the assignments of the term before.
enum class TakeoverKind {
  Deputy, ///< Has a copy of every assignment.
  Third,  ///< May have an old copy.
};

/// The lease pair of one data centre, as seen by one instance.
///
/// Keeps the term record, decides when this instance may act as leader, and
/// takes over or replaces the deputy by conditional update.
class TermKeeper {
public:
  TermKeeper(InstanceId Self, std::string FailureDomain,
             DataCentreId DataCentre, OwnershipTimes Times,
             SafetySwitches Switches, TimePoint Now);

  auto role() const -> TermRole;
  auto record() const -> const TermRecord & { return Record; }

  /// The leader or deputy that this record replaced; either may still renew.
  auto previous() const -> const std::set<InstanceId> & { return Previous; }
  auto takeover() const -> TakeoverKind { return Kind; }

  /// True while this instance may change assignments on its own word: it
  /// leads and its confirmation is valid. Without a deputy see needsPlatform().
  auto mayMove(TimePoint Now) const -> bool;

  /// True for a leader without a deputy: each change must first be written to
  /// the platform by conditional update.
  auto needsPlatform() const -> bool;

  /// True while this instance may extend existing target leases.
  auto mayRenew(TimePoint Now) const -> bool;

  /// Earliest time at which the replaced pair members can neither renew nor
  /// move, without their acknowledgement. Empty when no time bound exists.
  auto previousSilentAt() const -> std::optional<TimePoint>;

  /// Sets the instances that can become deputy.
  auto setCandidates(std::vector<PairCandidate> List) -> void;

  /// Tells whether this deputy has a copy of every assignment of the term, or
  /// this leader's deputy has.
  auto setCopyComplete(bool Complete) -> void;

  /// Any sign of life of an instance that leads or is deputy.
  auto heardFrom(const InstanceId &From, TimePoint Now) -> void;

  auto tick(TimePoint Now, OwnershipActions &Actions) -> void;
  auto receive(const InstanceId &From, const TermConfirmRequest &Request,
               TimePoint Now, OwnershipActions &Actions) -> void;
  auto receive(const InstanceId &From, const TermConfirm &Confirm,
               TimePoint Now) -> void;
  auto receive(const InstanceId &From, const Resign &Message, TimePoint Now,
               OwnershipActions &Actions) -> void;

  /// Learns of a record from a link message. Only the platform makes this
  /// instance leader, so a record that names it is checked there first.
  auto learn(const TermRecord &Seen, TimePoint Now) -> void;

  /// Learns that some instance acted in a higher term.
  auto learnTerm(std::uint64_t Term, TimePoint Now) -> void;

  auto objectRead(const ReadAnswer &Answer, TimePoint Now,
                  OwnershipActions &Actions) -> void;
  auto objectWritten(const WriteAnswer &Answer, TimePoint Now,
                     OwnershipActions &Actions) -> void;

  /// Gives up the role (graceful shutdown). It is never taken again.
  auto resign(TimePoint Now, OwnershipActions &Actions) -> void;

private:
  auto adopt(const TermRecord &Seen, bool FromPlatform, TimePoint Now) -> void;
  auto stretched(Duration Span) const -> Duration;
  auto wantsUpdate(TimePoint Now) const -> bool;
  auto nextRecord() const -> TermRecord;
  auto readObject(TimePoint Now, OwnershipActions &Actions) -> void;
  auto writeObject(TimePoint Now, OwnershipActions &Actions) -> void;
  auto deputyExpired(TimePoint Now) const -> bool;
  auto thirdMayTake(TimePoint Now) const -> bool;

  InstanceId Self;
  std::string FailureDomain;
  std::string ObjectName;
  OwnershipTimes Times;
  SafetySwitches Switches;
  std::vector<PairCandidate> Candidates;

  TermRecord Record;
  std::uint64_t HighestTerm = 0;
  std::optional<std::uint64_t> Version;
  std::set<InstanceId> Previous;
  TakeoverKind Kind = TakeoverKind::Third;
  std::optional<TimePoint> PreviousSilent;
  bool CopyComplete = false;
  bool Resigned = false;
  bool LeaderResigned = false;
  bool DeputyResigned = false;

  /// A conditional update whose outcome is not known. While set, this
  /// instance neither confirms nor uses confirmations of the old term.
  std::optional<TermRecord> Attempt;
  bool ReadPending = false;
  bool WritePending = false;
  TimePoint ReadAt;
  TimePoint WriteAt;
  bool FreshRead = false;
  bool PlatformAnswers = false;

  std::uint64_t NextNumber = 0;
  std::vector<std::pair<std::uint64_t, TimePoint>> Sent;
  TimePoint LastSent;
  TimePoint ConfirmedFrom; ///< Leader: send time of the last confirmed request.
  TimePoint ConfirmedAt;   ///< Deputy: time of the last confirmation sent.
  TimePoint DeputyHeard;   ///< Leader: last answer of the deputy.
  TimePoint PairHeard;     ///< Others: last sign of leader or deputy.
  TimePoint RecordChanged; ///< Last change of the record seen.
  TimePoint MoveEnded;     ///< Leader: last moment with move authority.
};

} // namespace buckthornring
