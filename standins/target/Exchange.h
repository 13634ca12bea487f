#pragma once

#include "TargetServer.h"

namespace buckthornring::standin {

/// An ordinary request on its way through the target.
struct TargetServer::Exchange {
  HttpRequest Request;
  HttpResponder Responder;
  std::string RequestId;
  std::optional<std::uint32_t> Slice;
  std::string Epoch; ///< "TERM.SEQUENCE" as sent.
  bool SawCallerKey = false;
  std::size_t RunIndex = 0;
};

} // namespace buckthornring::standin
