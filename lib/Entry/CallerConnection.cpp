#include "Entry/CallerConnection.h"

#include "Entry/RefusalAnswer.h"
#include "Entry/RequestExchange.h"
#include "Entry/TrafficThread.h"

#include <boost/asio/steady_timer.hpp>

namespace buckthornring {

CallerConnection::CallerConnection(TrafficThread &Thread,
                                   boost::asio::ip::tcp::socket Socket)
    : Thread(Thread), Stream(std::make_shared<CallerStream>(
                          std::move(Socket), Thread.options().Caller)) {}

CallerConnection::~CallerConnection() = default;

auto CallerConnection::start() -> void {
  readRequest();
  if (Thread.shuttingDown())
    shutDown();
}

auto CallerConnection::readRequest() -> void {
  Stream->readHead([Self = shared_from_this()](ReadOutcome Outcome) {
    Self->gotHead(Outcome);
  });
}

auto CallerConnection::gotHead(ReadOutcome Outcome) -> void {
  if (Ended)
    return;
  if (Outcome != ReadOutcome::Ok)
    return refuseUnreadable(Outcome);
  Current = std::make_shared<RequestExchange>(
      Thread, Stream, [Self = shared_from_this()](AfterRequest Next) {
        Self->requestEnded(Next);
      });
  Current->start();
}

auto CallerConnection::refuseUnreadable(ReadOutcome Outcome) -> void {
  if (Outcome == ReadOutcome::Idle)
    Thread.events().add(EntryEvent::CallerIdle);
  if (Outcome == ReadOutcome::SlowSender)
    Thread.events().add(EntryEvent::CallerSlowHead);
  const auto Reason = unreadableRefusal(Outcome);
  if (!Reason)
    return end(Outcome == ReadOutcome::Idle ? AfterRequest::CloseGracefully
                                            : AfterRequest::Abort);
  Thread.unreadable().request(RefusalReasonNames.name(*Reason));
  Thread.counters().add(*Reason);
  Thread.counters().add(RequestOutcome::RefusedNotRun);
  Stream->write(refusalAnswer(*Reason, RunStatus::NotRun, false), {},
                [Self = shared_from_this()](bool Success) {
                  Self->end(Success ? AfterRequest::CloseGracefully
                                    : AfterRequest::Abort);
                });
}

auto CallerConnection::requestEnded(AfterRequest Next) -> void {
  Current.reset();
  if (Next != AfterRequest::KeepOpen)
    return end(Next);
  readRequest();
  if (Thread.shuttingDown())
    shutDown();
}

auto CallerConnection::end(AfterRequest How) -> void {
  if (Ended)
    return;
  Ended = true;
  if (How == AfterRequest::Abort)
    Stream->abort();
  else
    Stream->closeGracefully();
  Thread.connectionEnded(shared_from_this());
}

auto CallerConnection::snapshotChanged() -> void {
  if (Current)
    Current->snapshotChanged();
}

auto CallerConnection::shutDown() -> void {
  if (Current)
    return;
  auto Timer = std::make_shared<boost::asio::steady_timer>(Thread.context());
  Timer->expires_after(Thread.options().IdleGrace);
  Timer->async_wait(
      [Self = shared_from_this(), Timer](const boost::system::error_code &) {
        // A head that has begun to arrive is read to its end.
        if (!Self->Current && !Self->Stream->receiving())
          Self->end(AfterRequest::CloseGracefully);
      });
}

} // namespace buckthornring
