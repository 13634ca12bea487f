#pragma once

#include "Gateway/RequestContext.h"
#include "buckthornring/IO/HttpMessage.h"

namespace buckthornring {

/// Response to GET /where: to which target this instance would send a request
/// now, and why. Nothing is sent, and no state changes: selections run on
/// copies, with the functions that requests use.
///
/// Query: host, path; optionally key, caller_key or workspace. An invalid query
/// is answered with 400 or 404 and a JSON object with "error".
auto whereResponse(const RequestContext &Context, const HttpRequest &Request,
                   TimePoint Now) -> HttpResponse;

} // namespace buckthornring
