#pragma once

#include "TargetServer.h"

namespace buckthornring::standin {

/// State of a routed request while the target handles it.
struct TargetServer::Exchange {
  HttpRequest Request;
  HttpResponder Responder;
  std::string RequestId;
  std::optional<std::uint32_t> Slice;
  std::string Epoch;         ///< "TERM.SEQUENCE" as sent in Btr-Epoch.
  bool SawCallerKey = false; ///< X-Caller-Key or Authorization was present.
  std::size_t RunIndex = 0;
};

} // namespace buckthornring::standin
