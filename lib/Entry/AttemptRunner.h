#pragma once

#include "Entry/Dispatcher.h"
#include "Entry/TargetStats.h"
#include "IO/MessageHead.h"
#include "IO/UpstreamPool.h"
#include "buckthornring/Attempt/Attempt.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Ownership/Epoch.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornring {

class AttemptRunner;
class TrafficThread;

/// Receives what happens to the attempts of one request.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  /// The attempt's phase machine reached a decision other than Proceed.
  virtual auto attemptOutcome(AttemptRunner &Runner,
                              const AttemptOutcome &Outcome) -> void = 0;

  /// The head and the first part of the body were written; the rest follows.
  virtual auto wantsMoreBody(AttemptRunner &Runner) -> void = 0;
};

/// Everything that one attempt sends, and where to.
struct AttemptJob {
  ServiceId Service;
  DispatchPlace Place; ///< Its slot is given back at the attempt's end.
  std::optional<std::uint32_t> Slice; ///< For owned keys.
  std::string RequestId;
  std::string Head;           ///< Complete head with the empty line.
  std::string_view Body;      ///< First part, or all of it.
  bool BodyContinues = false; ///< More parts follow through writeMore().
  bool HeadOnly = false;      ///< HEAD request.
  bool Idempotent = false;
};

/// Performs the input and output of one attempt and feeds its phase machine.
class AttemptRunner : public std::enable_shared_from_this<AttemptRunner> {
public:
  /// \p Record belongs to \p Owner.
  AttemptRunner(TrafficThread &Thread, std::shared_ptr<AttemptListener> Owner,
                RunRecord &Record, AttemptJob Job);
  ~AttemptRunner();
  AttemptRunner(const AttemptRunner &) = delete;
  auto operator=(const AttemptRunner &) -> AttemptRunner & = delete;

  auto start() -> void;
  auto job() const -> const AttemptJob & { return Job; }
  auto finished() const -> bool;

  /// Sends a further part of the body, already framed.
  auto writeMore(std::string Framed, bool Last) -> void;

  auto response() -> ResponseHead & { return Connection->response(); }
  auto responseDone() const -> bool { return Connection->responseDone(); }
  auto bodyBuffered() const -> bool { return Connection->bodyBuffered(); }

  /// Reads a part of the answer's body. A failure goes to the listener as an
  /// outcome; \p Done runs for parts only.
  auto readBody(std::function<void(std::string_view, bool)> Done) -> void;

  /// Ends the attempt; the outcome goes to the listener.
  auto responseEnd() -> void;
  auto stop(RefusalReason Reason) -> void;
  auto callerGone() -> void { report(Phase.callerGone()); }
  auto superseded() -> void { report(Phase.superseded()); }

private:
  auto gotConnection(UpstreamPool::ConnectionPtr Ready) -> void;
  auto written(bool Success) -> void;
  auto gotHead(bool Success) -> void;
  auto answeredOtherEpoch() -> bool;
  auto report(const AttemptOutcome &Outcome) -> void;
  auto giveUpConnection(bool Close) -> void;
  auto settleAccounts() -> void;
  auto readFailed() -> void;
  auto lost() -> void;

  TrafficThread &Thread;
  std::shared_ptr<AttemptListener> Owner;
  Attempt Phase;
  AttemptJob Job;
  UpstreamPool::ConnectionPtr Connection;
  UpstreamPool::Ticket Ticket = 0;
  TimePoint SentAt;
  std::optional<Duration> Latency; ///< Until the answer's head.
  std::uint64_t Number = 0;        ///< In the statistics; zero when ended.
  bool LastPart = true;
  std::shared_ptr<InFlightTable> InFlight; ///< Counts the slice while set.
  TargetStats::End Ending = TargetStats::End::Unused;
};

/// Text of an epoch in the Btr-Epoch field: "TERM.SEQUENCE".
auto epochText(const Epoch &Value) -> std::string;

} // namespace buckthornring
