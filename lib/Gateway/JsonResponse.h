#pragma once

#include "buckthornring/IO/HttpMessage.h"

#include <string>
#include <utility>

namespace buckthornring {

/// Response with a JSON text as its body.
inline auto jsonResponse(std::string Text, unsigned Status = 200)
    -> HttpResponse {
  HttpResponse Out;
  Out.Status = Status;
  Out.Headers.set("Content-Type", "application/json");
  Out.Body = std::move(Text);
  return Out;
}

} // namespace buckthornring
