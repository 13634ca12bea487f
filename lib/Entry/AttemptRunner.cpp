#include "Entry/AttemptRunner.h"

#include "Entry/TrafficThread.h"

#include <utility>

namespace buckthornring {

namespace {

/// An answer to a refused request is short; a longer one is not worth reading.
constexpr std::size_t DrainLimit = std::size_t{16} * 1024;

/// Reads the rest of an unwanted answer, then returns the connection.
auto drainInto(TrafficThread &Thread, const std::string &Address,
               const UpstreamPool::ConnectionPtr &Connection,
               std::size_t Remaining) -> void {
  if (Connection->answerDone())
    return Thread.pool().release(Address, Connection);
  Connection->readBody([&Thread, Address, Connection,
                        Remaining](bool Success, std::string_view Part, bool) {
    if (!Success || Part.size() > Remaining)
      return Thread.pool().discard(Address, Connection);
    drainInto(Thread, Address, Connection, Remaining - Part.size());
  });
}

} // namespace

auto epochText(const Epoch &Value) -> std::string {
  return std::to_string(Value.Term) + "." + std::to_string(Value.Sequence);
}

AttemptRunner::AttemptRunner(TrafficThread &Thread,
                             std::shared_ptr<AttemptListener> Owner,
                             RunRecord &Record, AttemptJob Job)
    : Thread(Thread), Owner(std::move(Owner)), Phase(Record),
      Job(std::move(Job)), LastPart(!this->Job.BodyContinues) {}

AttemptRunner::~AttemptRunner() = default;

auto AttemptRunner::finished() const -> bool {
  return Phase.phase() == AttemptPhase::Done;
}

auto AttemptRunner::start() -> void {
  Phase.targetChosen();
  Counted = true;
  Thread.attemptStarted(Job);
  Ticket = Thread.pool().acquire(
      {Job.Address, Job.Idempotent, Job.ConnectionLimit},
      [Self = shared_from_this()](UpstreamPool::ConnectionPtr Ready) {
        Self->gotConnection(std::move(Ready));
      });
}

auto AttemptRunner::gotConnection(UpstreamPool::ConnectionPtr Ready) -> void {
  Ticket = 0;
  if (finished()) {
    if (Ready)
      Thread.pool().release(Job.Address, Ready);
    return;
  }
  if (!Ready)
    return report(Phase.connectionLost());
  Connection = std::move(Ready);
  Phase.connectionReady();
  Connection->beginExchange(Job.HeadOnly);
  // From here on any byte may have been sent, whatever the write reports.
  Phase.writeStarted();
  SentAt = monotonicNow();
  Connection->write(
      std::move(Job.Head), Job.Body,
      [Self = shared_from_this()](bool Success) { Self->written(Success); });
  Connection->readHead(
      [Self = shared_from_this()](bool Success) { Self->gotHead(Success); });
}

auto AttemptRunner::written(bool Success) -> void {
  // After a failed write the target may still have sent an answer, for example
  // a refusal of a too large body, so the read decides.
  if (!Success || finished())
    return;
  if (!LastPart)
    return Owner->wantsMoreBody(*this);
  Phase.requestWritten();
}

auto AttemptRunner::writeMore(std::string Framed, bool Last) -> void {
  if (finished())
    return;
  LastPart = Last;
  Connection->write(
      std::move(Framed), {},
      [Self = shared_from_this()](bool Success) { Self->written(Success); });
}

auto AttemptRunner::answeredOtherEpoch() -> bool {
  const auto Answered = answer().Fields.find("Btr-Epoch");
  return Job.Slice && Answered && *Answered != epochText(*Job.Slice);
}

auto AttemptRunner::gotHead(bool Success) -> void {
  if (finished())
    return;
  // An answer under another epoch comes from a target whose lease has ended.
  if (!Success || answeredOtherEpoch())
    return report(Phase.connectionLost());
  const AnswerHead &Head = answer();
  if (Head.Status == 409 || Head.Status == 503)
    if (const auto Name = Head.Fields.find("Btr-Refusal"))
      if (const auto Reason = TargetRefusalNames.parse(*Name))
        return report(Phase.refusedByTarget(*Reason));
  report(Phase.responseHead());
}

auto AttemptRunner::readBody(std::function<void(std::string_view, bool)> Done)
    -> void {
  Connection->readBody([Self = shared_from_this(), Done = std::move(Done)](
                           bool Success, std::string_view Part, bool Last) {
    if (Self->finished())
      return;
    if (!Success)
      return Self->report(Self->Phase.connectionLost());
    Done(Part, Last);
  });
}

auto AttemptRunner::giveUpConnection(bool Close) -> void {
  if (Ticket != 0)
    Thread.pool().cancel(Job.Address, std::exchange(Ticket, 0));
  if (!Connection)
    return;
  const auto Given = std::exchange(Connection, nullptr);
  if (Close)
    return Thread.pool().discard(Job.Address, Given);
  drainInto(Thread, Job.Address, Given, DrainLimit);
}

auto AttemptRunner::report(const AttemptOutcome &Outcome) -> void {
  const auto Self = shared_from_this();
  if (Outcome.CancelAtTarget)
    Thread.cancelAtTarget(Job.Address, Job.RequestId);
  if (finished()) {
    giveUpConnection(Outcome.CloseConnection);
    if (std::exchange(Counted, false))
      Thread.attemptEnded(Job, SentAt, Outcome);
  }
  if (Outcome.Action != AttemptAction::Proceed)
    Owner->attemptOutcome(*this, Outcome);
}

} // namespace buckthornring
