#pragma once

#include "buckthornring/IO/HttpMessage.h"

#include <boost/beast/http/fields.hpp>

#include <cstddef>

namespace buckthornring {

/// Largest part of a message that is held before it is parsed: a head, or the
/// extensions and trailer fields of a chunked body. A faulty peer may send any
/// of them without end.
inline constexpr std::size_t MaxUnparsedBytes = 128UL * 1024;

/// Interim (1xx) responses after which a peer counts as faulty.
inline constexpr int MaxInterimResponses = 8;

/// Whether a response with this status precedes the final one.
inline auto isInterimStatus(unsigned Status) -> bool {
  return Status >= 100 && Status < 200;
}

/// Whether a final response may have this status. Beast accepts any three
/// digits; the others have no meaning (RFC 9110, section 15).
inline auto isFinalStatus(unsigned Status) -> bool {
  return Status >= 200 && Status < 600;
}

/// Whether a field is omitted from sent messages: those that the sender sets
/// itself, and malformed ones. A line break, for example, would start a new
/// field.
inline auto isOmittedField(const HttpHeaders::Field &Field) -> bool {
  for (const char *Name : {"Connection", "Keep-Alive", "Proxy-Connection",
                           "Transfer-Encoding", "Content-Length", "Expect"})
    if (sameHeaderName(Field.first, Name))
      return true;
  return Field.first.empty() ||
         Field.first.find_first_of("\r\n: ") != std::string::npos ||
         Field.second.find_first_of("\r\n") != std::string::npos;
}

inline auto appendFields(std::string &Output, const HttpHeaders &Headers)
    -> void {
  for (const auto &Field : Headers) {
    if (isOmittedField(Field))
      continue;
    Output.append(Field.first).append(": ").append(Field.second).append("\r\n");
  }
}

inline auto readFields(const boost::beast::http::fields &Fields)
    -> HttpHeaders {
  HttpHeaders Headers;
  for (const auto &Field : Fields)
    Headers.add(std::string(Field.name_string()), std::string(Field.value()));
  return Headers;
}

} // namespace buckthornring
