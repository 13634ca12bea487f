#pragma once

#include "IO/EventLog.h"
#include "buckthornring/IO/HttpClient.h"

namespace buckthornring {

/// Options of a client of the store or of another instance, which logs each
/// response that cannot be read. \p Events has to live as long as the client.
auto clientOptions(EventLog &Events) -> HttpClientOptions;

} // namespace buckthornring
