#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornring {

/// Header fields in their order of arrival. Names are compared
/// case-insensitively.
class HttpHeaders {
public:
  using Field = std::pair<std::string, std::string>;

  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<Field> Fields) : Fields(Fields) {}

  /// Returns the first value of a name, or nothing when the name is absent.
  auto find(std::string_view Name) const -> std::optional<std::string_view>;
  auto contains(std::string_view Name) const -> bool;

  auto add(std::string Name, std::string Value) -> void;
  /// Replaces all values of a name by one.
  auto set(std::string Name, std::string Value) -> void;
  auto erase(std::string_view Name) -> void;

  auto begin() const { return Fields.begin(); }
  auto end() const { return Fields.end(); }

private:
  std::vector<Field> Fields;
};

/// Whether two header names are equal, ignoring case.
auto sameHeaderName(std::string_view Left, std::string_view Right) -> bool;

struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/"; ///< Path and query as sent.
  HttpHeaders Headers;
  std::string Body;

  auto path() const -> std::string_view;
  /// Returns the decoded value of a query parameter, or nothing.
  auto query(std::string_view Name) const -> std::optional<std::string>;
};

/// A complete response. Connection, Transfer-Encoding and Content-Length are
/// set when the response is sent and ignored here, except Content-Length in the
/// response to a HEAD request.
struct HttpResponse {
  unsigned Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// Decodes percent escapes; invalid escapes are kept as they are.
auto decodePercent(std::string_view Text) -> std::string;
/// Escapes everything but unreserved characters and '/'.
auto encodePercent(std::string_view Text) -> std::string;

} // namespace buckthornring
