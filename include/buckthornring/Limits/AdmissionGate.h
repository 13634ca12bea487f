#pragma once

#include "buckthornring/Limits/ShareHolder.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace buckthornring {

/// Admits one workspace's requests in one traffic thread by its share of the
/// workspace's rate. Requests wait a short time for tokens from the giver.
class AdmissionGate {
public:
  using Ticket = std::uint64_t;

  struct Options {
    std::uint32_t QueueLimit = 64;
    /// Covers the replacement of a lost leader's shares only in part; a longer
    /// wait fills the queue of a workspace that is over its rate.
    Duration MaxWait = std::chrono::milliseconds(500);
  };

  enum class Answer { Admit, Wait, Refuse };

  struct Progress {
    std::vector<Ticket> Admitted;
    std::vector<Ticket> Refused; ///< Over rate: 429, not-run.
  };

  AdmissionGate(Options Settings, ShareHolder Share)
      : Settings(Settings), Share(std::move(Share)) {}

  /// Decides on a new request. A waiting one is reported by advance().
  auto offer(Ticket Request, TimePoint Deadline, TimePoint Now) -> Answer;

  /// To be called after each grant and at nextChange().
  auto advance(TimePoint Now) -> Progress;

  /// Withdraws a waiting request.
  auto remove(Ticket Request) -> void;

  /// Time of the next token or expiry while requests wait.
  auto nextChange(TimePoint Now) -> std::optional<TimePoint>;

  auto waiting() const -> std::size_t { return Queue.size(); }

  /// The share, for its messages to and from the giver.
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
