// The transition table has more rows than the default limit of MPL vectors.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40
#define BOOST_MPL_LIMIT_MAP_SIZE 40

#include "buckthornring/Attempt/Attempt.h"
#include "buckthornring/Common/Invariant.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace buckthornring {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct TargetChosen {};
struct ConnectionReady {};
struct WriteStarted {};
struct RequestWritten {};
struct ResponseHead {};
struct ResponseEnd {};
struct Refused {
  TargetRefusal Reason;
};
struct ConnectionLost {};
struct Stop {
  RefusalReason Reason;
};
struct Abandon {};

struct RefusalMeaning {
  RetryReason Retry;
  RefusalReason Refusal;
};

/// Indexed by TargetRefusal.
constexpr std::array<RefusalMeaning, 4> RefusalMeanings = {{
    {RetryReason::RefusedStaleEpoch, RefusalReason::NoOwner},
    {RetryReason::RefusedNoLease, RefusalReason::NoOwner},
    {RetryReason::RefusedShed, RefusalReason::TargetShed},
    {RetryReason::RefusedDraining, RefusalReason::TargetShed},
}};

/// Access to the members of RunRecord that only attempts change.
struct RecordAccess {
  bool &Settled;
  std::uint32_t &PossibleRuns;
  std::uint32_t &Live;
};

struct Front : msm::front::state_machine_def<Front> {
  template <AttemptPhase Phase>
  struct PhaseState : msm::front::state<> {
    template <class Event, class Machine>
    auto on_entry(const Event &, Machine &Fsm) -> void {
      Fsm.Phase = Phase;
    }
  };
  using Queued = PhaseState<AttemptPhase::Queued>;
  using Connecting = PhaseState<AttemptPhase::Connecting>;
  using Writing = PhaseState<AttemptPhase::Writing>;
  using Written = PhaseState<AttemptPhase::Written>;
  using Answering = PhaseState<AttemptPhase::Answering>;
  using Done = PhaseState<AttemptPhase::Done>;
  using initial_state = Queued;

  Front(const RunRecord &Record, RecordAccess Access)
      : Record(Record), Access(Access) {}

  auto runStatus() const -> RunStatus {
    return Record.mayHaveRun() ? RunStatus::Unknown : RunStatus::NotRun;
  }

  auto finishAttempt() -> void {
    --Access.Live;
    if (Outcome.Action == AttemptAction::Refuse ||
        Outcome.Action == AttemptAction::Abort)
      Access.Settled = true;
  }

  /// Ends the attempt without a response. Nothing is reported to the caller if
  /// another live attempt may still respond or the request is already settled.
  auto fail(AttemptAction Action, RefusalReason Refusal) -> void {
    const bool OthersLive = Access.Live > 1;
    const bool OutcomeIgnored = Record.settled() || OthersLive;
    Outcome.Action = OutcomeIgnored ? AttemptAction::Drop : Action;
    Outcome.Refusal = Refusal;
    Outcome.Run = runStatus();
    finishAttempt();
  }

  auto failWithRetry(RetryReason Reason, RefusalReason Refusal) -> void {
    Outcome.Retry = Reason;
    // A non-idempotent request is retried only if no target can have run it.
    const bool Repeatable = Record.idempotent() || !Record.mayHaveRun();
    fail(Repeatable && Record.replayable() ? AttemptAction::Retry
                                           : AttemptAction::Refuse,
         Refusal);
  }

  struct AddPossibleRun {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      invariant(Fsm.Record.idempotent() || !Fsm.Record.mayHaveRun(),
                "a non-idempotent request is sent to one target only");
      ++Fsm.Access.PossibleRuns;
    }
  };
  struct RetractPossibleRun {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &E, Machine &Fsm, Source &, Target &) -> void {
      --Fsm.Access.PossibleRuns;
      const RefusalMeaning &Meaning =
          RefusalMeanings.at(static_cast<std::size_t>(E.Reason));
      Fsm.Outcome.CloseConnection = Fsm.Phase != AttemptPhase::Written;
      Fsm.failWithRetry(Meaning.Retry, Meaning.Refusal);
    }
  };
  struct FailBeforeWrite {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.CloseConnection = true;
      Fsm.failWithRetry(RetryReason::ConnectFailed, RefusalReason::NoTarget);
    }
  };
  struct FailAfterWrite {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.CloseConnection = true;
      Fsm.failWithRetry(RetryReason::ConnectionLost,
                        RefusalReason::ConnectionLost);
    }
  };
  struct StopUnsent {
    template <class Machine, class Source, class Target>
    auto operator()(const Stop &E, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.CloseConnection = Fsm.Phase == AttemptPhase::Connecting;
      Fsm.fail(AttemptAction::Refuse, E.Reason);
    }
  };
  struct StopSent {
    template <class Machine, class Source, class Target>
    auto operator()(const Stop &E, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.CloseConnection = true;
      Fsm.Outcome.CancelAtTarget = true;
      Fsm.fail(AttemptAction::Refuse, E.Reason);
    }
  };
  struct AbandonUnsent {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.CloseConnection = Fsm.Phase == AttemptPhase::Connecting;
      Fsm.Outcome.Action = AttemptAction::Drop;
      Fsm.finishAttempt();
    }
  };
  struct AbandonSent {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.CloseConnection = true;
      Fsm.Outcome.CancelAtTarget = true;
      Fsm.Outcome.Action = AttemptAction::Drop;
      Fsm.finishAttempt();
    }
  };
  struct IsFirstResponse {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> bool {
      return !Fsm.Record.settled();
    }
  };
  struct StartResponse {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Access.Settled = true;
      Fsm.EarlyHead = Fsm.Phase == AttemptPhase::Writing;
      Fsm.Outcome.Action = AttemptAction::Forward;
    }
  };
  struct CompleteWrite {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.EarlyHead = false;
    }
  };
  struct FinishResponse {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.Action = AttemptAction::Finish;
      // A response that ended before the request leaves unread request bytes.
      Fsm.Outcome.CloseConnection = Fsm.EarlyHead;
      Fsm.finishAttempt();
    }
  };
  struct AbortResponse {
    template <class Event, class Machine, class Source, class Target>
    auto operator()(const Event &, Machine &Fsm, Source &, Target &) -> void {
      Fsm.Outcome.Action = AttemptAction::Abort;
      Fsm.Outcome.Run = RunStatus::Unknown;
      Fsm.Outcome.CloseConnection = true;
      Fsm.Outcome.CancelAtTarget = std::is_same_v<Event, Stop>;
      Fsm.finishAttempt();
    }
  };

  // clang-format off
  struct transition_table : boost::mpl::vector<
      //  source      event            target      action           guard
      Row<Queued,     TargetChosen,    Connecting, none,            none>,
      Row<Queued,     ConnectionLost,  Done,       FailBeforeWrite, none>,
      Row<Queued,     Stop,            Done,       StopUnsent,      none>,
      Row<Queued,     Abandon,         Done,       AbandonUnsent,   none>,

      Row<Connecting, ConnectionReady, none,       none,            none>,
      Row<Connecting, WriteStarted,    Writing,    AddPossibleRun,          none>,
      Row<Connecting, ConnectionLost,  Done,       FailBeforeWrite, none>,
      // A response before the request belongs to another exchange.
      Row<Connecting, ResponseHead,    Done,       FailBeforeWrite, none>,
      Row<Connecting, Refused,         Done,       FailBeforeWrite, none>,
      Row<Connecting, Stop,            Done,       StopUnsent,      none>,
      Row<Connecting, Abandon,         Done,       AbandonUnsent,   none>,

      Row<Writing,    RequestWritten,  Written,    none,            none>,
      // The last row of an event is tried first.
      Row<Writing,    ResponseHead,    Done,       AbandonSent,     none>,
      Row<Writing,    ResponseHead,    Answering,  StartResponse,     IsFirstResponse>,
      Row<Writing,    Refused,         Done,       RetractPossibleRun,        none>,
      Row<Writing,    ConnectionLost,  Done,       FailAfterWrite,  none>,
      Row<Writing,    Stop,            Done,       StopSent,        none>,
      Row<Writing,    Abandon,         Done,       AbandonSent,     none>,

      Row<Written,    ResponseHead,    Done,       AbandonSent,     none>,
      Row<Written,    ResponseHead,    Answering,  StartResponse,     IsFirstResponse>,
      Row<Written,    Refused,         Done,       RetractPossibleRun,        none>,
      Row<Written,    ConnectionLost,  Done,       FailAfterWrite,  none>,
      Row<Written,    Stop,            Done,       StopSent,        none>,
      Row<Written,    Abandon,         Done,       AbandonSent,     none>,

      Row<Answering,  RequestWritten,  none,       CompleteWrite,   none>,
      Row<Answering,  ResponseEnd,     Done,       FinishResponse,    none>,
      Row<Answering,  ResponseHead,    Done,       AbortResponse,     none>,
      Row<Answering,  Refused,         Done,       AbortResponse,     none>,
      Row<Answering,  ConnectionLost,  Done,       AbortResponse,     none>,
      Row<Answering,  Stop,            Done,       AbortResponse,     none>,
      Row<Answering,  Abandon,         Done,       AbandonSent,     none>
  > {};
  // clang-format on

  template <class Machine, class Event>
  auto no_transition(const Event &, Machine &Fsm, int) -> void {
    invariant(Fsm.Phase == AttemptPhase::Done,
              "an attempt's own progress follows its phases");
    Fsm.Outcome.Action = AttemptAction::Drop;
    Fsm.Outcome.CloseConnection = true;
  }

  const RunRecord &Record;
  RecordAccess Access;
  AttemptPhase Phase = AttemptPhase::Queued;
  AttemptOutcome Outcome;
  bool EarlyHead = false;
};

} // namespace

struct Attempt::Machine {
  Machine(const RunRecord &Record, RecordAccess Access) : Back(Record, Access) {
    Back.start();
  }

  template <class Event>
  auto process(const Event &E) -> AttemptOutcome {
    Back.Outcome = AttemptOutcome();
    Back.process_event(E);
    return Back.Outcome;
  }

  msm::back::state_machine<Front> Back;
};

Attempt::Attempt(RunRecord &Record)
    : Impl(std::make_unique<Machine>(
          Record,
          RecordAccess{Record.Settled, Record.PossibleRuns, Record.Live})) {
  invariant(!Record.settled(), "a settled request starts no attempt");
  invariant(Record.Idempotent || (Record.Live == 0 && Record.PossibleRuns == 0),
            "a non-idempotent request has one attempt at a time");
  ++Record.Live;
}

Attempt::~Attempt() {
  // An attempt that its owner destroys no longer serves the request.
  if (phase() != AttemptPhase::Done)
    --Impl->Back.Access.Live;
}

auto Attempt::phase() const -> AttemptPhase { return Impl->Back.Phase; }

auto Attempt::targetChosen() -> AttemptOutcome {
  return Impl->process(TargetChosen());
}

auto Attempt::connectionReady() -> AttemptOutcome {
  return Impl->process(ConnectionReady());
}

auto Attempt::writeStarted() -> AttemptOutcome {
  return Impl->process(WriteStarted());
}

auto Attempt::requestWritten() -> AttemptOutcome {
  return Impl->process(RequestWritten());
}

auto Attempt::responseHead() -> AttemptOutcome {
  return Impl->process(ResponseHead());
}

auto Attempt::responseEnd() -> AttemptOutcome {
  return Impl->process(ResponseEnd());
}

auto Attempt::refusedByTarget(TargetRefusal Reason) -> AttemptOutcome {
  return Impl->process(Refused{Reason});
}

auto Attempt::connectionLost() -> AttemptOutcome {
  return Impl->process(ConnectionLost());
}

auto Attempt::stop(RefusalReason Reason) -> AttemptOutcome {
  return Impl->process(Stop{Reason});
}

auto Attempt::callerGone() -> AttemptOutcome {
  return Impl->process(Abandon());
}

auto Attempt::superseded() -> AttemptOutcome {
  return Impl->process(Abandon());
}

} // namespace buckthornring
