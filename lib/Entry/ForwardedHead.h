#pragma once

#include "Entry/Dispatcher.h"
#include "Entry/RequestPlanner.h"
#include "IO/MessageHead.h"
#include "buckthornring/Common/Time.h"

#include <string>

namespace buckthornring {

/// What a request's head says to the target or relay that runs it.
struct OutgoingRequest {
  const RequestHead &Head; ///< As received from the caller.
  const RequestPlan &Plan;
  const DispatchPlace &Place;
  const std::string &RequestId;
  Duration Remaining; ///< Until the deadline; sent as at least 1 ms.
  BodyFraming Framing;
};

/// Returns the head with its empty line. A relay gets the caller key, since it
/// checks it again; a target does not.
auto outgoingHead(const OutgoingRequest &Request) -> std::string;

/// How an answer is passed on to the caller.
struct IncomingAnswer {
  const ResponseHead &Head;
  bool FromRelay = false;
  /// An earlier attempt may have run, which a relay's refusal does not know.
  bool Retried = false;
  bool KeepConnection = true;
};

/// Returns the head of the answer to the caller with its empty line.
auto answerHead(const IncomingAnswer &Answer) -> std::string;

} // namespace buckthornring
