#pragma once

#include <cstdint>

namespace buckthornring {

/// Combined state of all attempts of one request.
///
/// One record per request, shared by its attempts (retries follow each other,
/// hedges overlap). It must outlive them. It ensures that "not-run" covers
/// earlier and parallel attempts, and that only one attempt answers the caller.
class RunRecord {
public:
  explicit RunRecord(bool Idempotent) : Idempotent(Idempotent) {}

  auto idempotent() const -> bool { return Idempotent; }

  /// True if some attempt has sent a byte and was not refused by its target.
  auto mayHaveRun() const -> bool { return PossibleRuns > 0; }

  /// True once an attempt answers the caller, or the request was refused or
  /// dropped. No later attempt reaches the caller.
  auto settled() const -> bool { return Settled; }

  /// Number of attempts that are not done.
  auto liveAttempts() const -> std::uint32_t { return Live; }

  /// False once part of the body was sent and can't be read again.
  auto replayable() const -> bool { return Replayable; }

  /// To be called when the body was streamed without keeping a copy.
  auto bodyDiscarded() -> void { Replayable = false; }

  /// To be called when the request is refused for a reason outside its
  /// attempts, for example a spent retry budget.
  auto settle() -> void { Settled = true; }

private:
  friend class Attempt;

  bool Idempotent;
  bool Replayable = true;
  bool Settled = false;
  std::uint32_t PossibleRuns = 0;
  std::uint32_t Live = 0;
};

} // namespace buckthornring
