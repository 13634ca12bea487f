#pragma once

#include "Gateway/RequestContext.h"
#include "buckthornring/IO/HttpMessage.h"

namespace buckthornring {

/// Response to GET /status: for each service of the configuration its targets,
/// their room, recent requests and refusals, and the requests that wait, as
/// this instance knows them. No state changes.
///
/// Without a configuration, the response is 503 and a JSON object with "error".
auto statusResponse(const RequestContext &Context, TimePoint Now)
    -> HttpResponse;

} // namespace buckthornring
