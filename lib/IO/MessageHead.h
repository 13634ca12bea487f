#pragma once

#include "buckthornring/IO/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornring {

/// How the body of a message is delimited on the wire.
struct BodyFraming {
  /// Body bytes, or nothing for chunked transfer.
  std::optional<std::uint64_t> Length = 0;
};

struct RequestHead {
  std::string Method;
  std::string Target; ///< Path and query as received.
  HttpHeaders Fields;
  BodyFraming Framing;
  bool ExpectsContinue = false;
};

struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  HttpHeaders Fields;
  BodyFraming Framing;
  /// No body follows, even if the head declares its length (response to HEAD,
  /// 204, 304).
  bool Bodiless = false;
};

/// Returns the options of all Connection fields as one list.
auto connectionOptions(const HttpHeaders &Fields) -> std::string;

/// Whether \p Name belongs to one connection (RFC 9110, section 7.6.1) or
/// describes the framing, which each connection sets for itself. \p Connection
/// is the message's connectionOptions().
auto isHopByHop(std::string_view Name, std::string_view Connection) -> bool;

/// Appends "Name: Value" and the line end.
auto appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) -> void;

/// Appends the Content-Length or Transfer-Encoding field for \p Framing.
auto appendFraming(std::string &Out, const BodyFraming &Framing) -> void;

/// Appends one chunk of a chunked body. An empty \p Data appends nothing,
/// since an empty chunk would end the body.
auto appendChunk(std::string &Out, std::string_view Data) -> void;

/// The chunk that ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace buckthornring
