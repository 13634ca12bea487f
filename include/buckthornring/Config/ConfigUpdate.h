#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Config/ConfigRecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornring {

/// What the driver of a ConfigUpdate does next.
enum class ConfigUpdateStep {
  Write, ///< Conditional write of record() against baseVersion().
  Read,  ///< Read "config/current".
  Done,  ///< outcome() is final.
};

/// How an update ended.
enum class ConfigUpdateOutcome {
  Pending,
  Applied,   ///< This update took effect, once.
  Refused,   ///< Another update won; this one has no effect and never will.
  Rejected,  ///< The platform refused the value; nothing was written.
  Unknown,   ///< No answer could be had; the update may be in effect.
  Unchanged, ///< The platform could not be reached; nothing was written.
};

inline constexpr EnumNames<ConfigUpdateOutcome, 6> ConfigUpdateOutcomeNames(
    {"pending", "applied", "refused", "rejected", "unknown", "unchanged"});

/// One conditional update of "config/current", without input or output.
///
/// A lost answer leads to a read: the record names the update that made each
/// recent generation, so the reader knows whether its own write took effect.
/// A write is repeated only after a read that still found the base version, and
/// with the same condition, so it takes effect at most once.
class ConfigUpdate {
public:
  /// Calls without answer, and writes, after which the update gives up.
  static constexpr unsigned MaxLost = 5;

  /// \p Record follows the record of version \p BaseVersion (0: absent).
  ConfigUpdate(ConfigRecord Record, std::uint64_t BaseVersion);

  auto step() const -> ConfigUpdateStep { return Step; }
  auto outcome() const -> ConfigUpdateOutcome { return Outcome; }
  auto record() const -> const ConfigRecord & { return Record; }
  auto baseVersion() const -> std::uint64_t { return BaseVersion; }

  /// Generation that won, after Refused; 0 when the object is gone.
  auto winner() const -> std::uint64_t { return Winner; }
  /// Highest generation seen at the platform, 0 when none was.
  auto seenGeneration() const -> std::uint64_t { return Seen; }
  /// Why the platform rejected the value.
  auto reason() const -> const std::string & { return Reason; }

  /// The write was confirmed.
  auto onWritten() -> void;
  /// The condition of the write did not hold.
  auto onConflict() -> void;
  /// The write got no answer and may take effect.
  auto onWriteLost() -> void;
  /// The write certainly did not reach the platform.
  auto onWriteUnsent() -> void;
  /// The platform refused the value for good.
  auto onRejected(std::string Reason) -> void;
  /// The read got no answer.
  auto onReadLost() -> void;
  /// The read found this record, or nothing (\p Version is then ignored).
  auto onRead(const ConfigRecord *Found, std::uint64_t Version) -> void;

private:
  auto finish(ConfigUpdateOutcome How) -> void;
  auto countLost(ConfigUpdateStep Next) -> void;

  ConfigRecord Record;
  std::uint64_t BaseVersion;
  ConfigUpdateStep Step = ConfigUpdateStep::Write;
  ConfigUpdateOutcome Outcome = ConfigUpdateOutcome::Pending;
  std::uint64_t Winner = 0;
  std::uint64_t Seen = 0;
  unsigned Lost = 0;
  unsigned Repeats = 0; ///< Reads that found the base version unchanged.
  /// Whether a write without answer may still arrive.
  bool MayHaveWritten = false;
  std::string Reason;
};

} // namespace buckthornring
