#pragma once

#include "buckthornring/Limits/ShareHolder.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace buckthornring {

/// Admits one workspace's requests in one traffic thread as far as the thread's
/// share of the workspace's rate allows. A request without a token waits a
/// short time for one from the lender.
class AdmissionGate {
public:
  using Ticket = std::uint64_t;

  struct Options {
    std::uint32_t QueueLimit = 64;
    /// Covers only part of the time in which the shares of a failed leader are
    /// replaced. A longer wait would fill the queue of a workspace that exceeds
    /// its rate.
    Duration MaxWait = std::chrono::milliseconds(500);
  };

  enum class Answer { Admit, Wait, Refuse };

  struct Progress {
    std::vector<Ticket> Admitted;
    std::vector<Ticket> Refused; ///< Over the rate: 429, not-run.
  };

  AdmissionGate(Options Settings, ShareHolder Share)
      : Settings(Settings), Share(std::move(Share)) {}

  /// Decides on a new request. The decision on a request that waits is returned
  /// by advance().
  auto offer(Ticket Request, TimePoint Deadline, TimePoint Now) -> Answer;

  /// Returns the waiting requests on which a decision was made. Call it after
  /// each grant and at nextChange().
  auto advance(TimePoint Now) -> Progress;

  /// Withdraws a waiting request.
  auto remove(Ticket Request) -> void;

  /// Returns the time of the next token or expiry; nothing while no request
  /// waits.
  auto nextChange(TimePoint Now) -> std::optional<TimePoint>;

  auto waiting() const -> std::size_t { return Queue.size(); }

  /// The share, for exchanging its messages with the lender.
  auto share() -> ShareHolder & { return Share; }

private:
  struct Entry {
    Ticket Request;
    TimePoint Until;
  };

  auto reportWaiting() -> void;

  Options Settings;
  ShareHolder Share;
  std::deque<Entry> Queue;
};

} // namespace buckthornring
