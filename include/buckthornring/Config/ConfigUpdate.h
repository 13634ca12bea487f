#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Config/ConfigRecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornring {

/// Next action for the driver of a ConfigUpdate.
enum class ConfigUpdateStep {
  Write, ///< Conditional write of record() against baseVersion().
  Read,  ///< Read "config/current".
  Done,  ///< outcome() is final.
};

/// How an update ended.
enum class ConfigUpdateOutcome {
  Pending,
  Applied,   ///< This update took effect, once.
  Refused,   ///< Another update won; this one can no longer take effect.
  Rejected,  ///< The platform refused the value; nothing was written.
  Unknown,   ///< A write got no response; the update may be in effect.
  Unchanged, ///< The platform could not be reached; nothing was written.
};

inline constexpr EnumNames<ConfigUpdateOutcome, 6> ConfigUpdateOutcomeNames(
    {"pending", "applied", "refused", "rejected", "unknown", "unchanged"});

/// State machine of one conditional update of "config/current". Does no I/O.
///
/// A lost response leads to a read: the record names the update that made each
/// recent generation, so the reader knows whether its own write took effect.
/// A write is repeated only after a read that still found the base version, and
/// with the same condition, so it takes effect at most once.
class ConfigUpdate {
public:
  /// Limit of failed calls, and of reads that find the base version unchanged,
  /// before the update is abandoned.
  static constexpr unsigned MaxAttempts = 5;

  /// \p Record follows the record of version \p BaseVersion (0: absent).
  ConfigUpdate(ConfigRecord Record, std::uint64_t BaseVersion);

  auto step() const -> ConfigUpdateStep { return Step; }
  auto outcome() const -> ConfigUpdateOutcome { return Outcome; }
  auto record() const -> const ConfigRecord & { return Record; }
  auto baseVersion() const -> std::uint64_t { return BaseVersion; }

  /// Generation of the update that won, after Refused; 0 when the object is
  /// absent.
  auto winnerGeneration() const -> std::uint64_t { return WinnerGeneration; }
  /// Highest generation seen at the platform, 0 when none was seen.
  auto highestSeenGeneration() const -> std::uint64_t {
    return HighestSeenGeneration;
  }
  /// Reason of the platform for rejecting the value.
  auto reason() const -> const std::string & { return Reason; }

  /// The write was confirmed.
  auto onWritten() -> void;
  /// The condition of the write did not hold.
  auto onConflict() -> void;
  /// The write got no response and may take effect.
  auto onWriteUnanswered() -> void;
  /// The write did not reach the platform.
  auto onWriteUnsent() -> void;
  /// The platform refused the value; a retry would not succeed.
  auto onRejected(std::string Reason) -> void;
  /// The read got no response.
  auto onReadUnanswered() -> void;
  /// The read returned \p Found, or null when the object is absent; \p Version
  /// is then ignored.
  auto onRead(const ConfigRecord *Found, std::uint64_t Version) -> void;

private:
  auto finish(ConfigUpdateOutcome FinalOutcome) -> void;
  auto countFailedCall(ConfigUpdateStep Next) -> void;

  ConfigRecord Record;
  std::uint64_t BaseVersion;
  ConfigUpdateStep Step = ConfigUpdateStep::Write;
  ConfigUpdateOutcome Outcome = ConfigUpdateOutcome::Pending;
  std::uint64_t WinnerGeneration = 0;
  std::uint64_t HighestSeenGeneration = 0;
  unsigned FailedCalls = 0;
  unsigned UnchangedReads = 0; ///< Reads that found the base version unchanged.
  /// Whether a write without response may have taken effect or still may.
  bool MayHaveWritten = false;
  std::string Reason;
};

} // namespace buckthornring
