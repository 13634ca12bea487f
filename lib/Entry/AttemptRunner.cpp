#include "Entry/AttemptRunner.h"

#include "Entry/TrafficThread.h"
#include "IO/SteadyTime.h"

#include <utility>

namespace buckthornring {

namespace {

/// An answer to a refused request is short; a longer one is not worth reading.
constexpr std::size_t DrainLimit = std::size_t{16} * 1024;

/// Reads the rest of an unwanted answer, then returns the connection.
auto drainInto(TrafficThread &Thread, const std::string &Address,
               const UpstreamPool::ConnectionPtr &Connection,
               std::size_t Remaining) -> void {
  if (Connection->responseDone())
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
  Number = Thread.attemptStarted(Job);
  Ticket = Thread.pool().acquire(
      {Job.Place.Address, Job.Idempotent, Job.Place.ConnectionLimit},
      [Self = shared_from_this()](UpstreamPool::ConnectionPtr Ready) {
        Self->gotConnection(std::move(Ready));
      });
}

auto AttemptRunner::gotConnection(UpstreamPool::ConnectionPtr Ready) -> void {
  Ticket = 0;
  if (finished()) {
    if (Ready)
      Thread.pool().release(Job.Place.Address, Ready);
    return;
  }
  if (!Ready)
    return lost();
  Connection = std::move(Ready);
  Phase.connectionReady();
  if (!Thread.beginSlice(Job, InFlight))
    return report(Phase.connectionLost());
  Connection->beginExchange(Job.HeadOnly);
  // From here on any byte may have been sent, whatever the write reports.
  Phase.writeStarted();
  SentAt = steadyNow();
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
  const auto Answered = response().Fields.find("Btr-Epoch");
  return Job.Place.Slice && Answered &&
         *Answered != epochText(*Job.Place.Slice);
}

auto AttemptRunner::gotHead(bool Success) -> void {
  if (finished())
    return;
  if (!Success)
    return readFailed();
  // An answer under another epoch comes from a target whose lease has ended.
  if (answeredOtherEpoch())
    return lost();
  Latency = steadyNow() - SentAt;
  const ResponseHead &Head = response();
  if (Head.Status == 409 || Head.Status == 503)
    if (const auto Name = Head.Fields.find("Btr-Refusal"))
      if (const auto Reason = TargetRefusalNames.parse(*Name)) {
        Ending = TargetStats::End::Refused;
        return report(Phase.refusedByTarget(*Reason));
      }
  report(Phase.responseHead());
}

auto AttemptRunner::readBody(std::function<void(std::string_view, bool)> Done)
    -> void {
  Connection->readBody([Self = shared_from_this(), Done = std::move(Done)](
                           bool Success, std::string_view Part, bool Last) {
    if (Self->finished())
      return;
    if (!Success)
      return Self->readFailed();
    Done(Part, Last);
  });
}

auto AttemptRunner::giveUpConnection(bool Close) -> void {
  if (Ticket != 0)
    Thread.pool().cancel(Job.Place.Address, std::exchange(Ticket, 0));
  if (!Connection)
    return;
  const auto Given = std::exchange(Connection, nullptr);
  if (Close)
    return Thread.pool().discard(Job.Place.Address, Given);
  drainInto(Thread, Job.Place.Address, Given, DrainLimit);
}

auto AttemptRunner::settleAccounts() -> void {
  if (Number == 0)
    return;
  if (InFlight)
    Thread.endSlice(Job, std::exchange(InFlight, nullptr),
                    Ending != TargetStats::End::Answered &&
                        Ending != TargetStats::End::Refused);
  Thread.attemptEnded(Job, std::exchange(Number, 0), Ending, Latency);
}

auto AttemptRunner::readFailed() -> void {
  if (const std::string &Fault = Connection->fault(); !Fault.empty())
    Thread.unreadable().response(Job.Place.Address, Fault);
  lost();
}

auto AttemptRunner::lost() -> void {
  Ending = TargetStats::End::Failed;
  report(Phase.connectionLost());
}

auto AttemptRunner::responseEnd() -> void {
  Ending = TargetStats::End::Answered;
  report(Phase.responseEnd());
}

auto AttemptRunner::stop(RefusalReason Reason) -> void {
  // A deadline that ends during the answer says nothing against the target.
  if (Reason == RefusalReason::DeadlineExceeded &&
      Phase.phase() != AttemptPhase::Answering)
    Ending = TargetStats::End::Failed;
  report(Phase.stop(Reason));
}

auto AttemptRunner::report(const AttemptOutcome &Outcome) -> void {
  const auto Self = shared_from_this();
  if (Outcome.CancelAtTarget)
    Thread.cancelAtTarget(Job.Place.Address, Job.RequestId);
  if (finished()) {
    giveUpConnection(Outcome.CloseConnection);
    settleAccounts();
  }
  if (Outcome.Action != AttemptAction::Proceed)
    Owner->attemptOutcome(*this, Outcome);
}

} // namespace buckthornring
