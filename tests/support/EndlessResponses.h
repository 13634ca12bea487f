#pragma once

#include "support/ScriptedTarget.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <string>

namespace buckthornring::test {

/// A response of a faulty target, one part of which has no end.
struct EndlessResponse {
  std::string Start;
  std::string Repeated;

  /// Limit of what is sent, in bytes, so that a failing test ends.
  static constexpr std::size_t MaxSent = 256UL * 1024 * 1024;

  /// Script that sends the response until the caller closes, and counts the
  /// bytes.
  auto script(std::atomic<std::size_t> &Sent) const -> ScriptedTarget::Script {
    std::string Part = Repeated;
    while (Part.size() < 4096)
      Part += Part;
    return [Begin = Start, Part, &Sent](ScriptedTarget::Tcp::socket &To,
                                        const std::string &) {
      if (!ScriptedTarget::send(To, Begin))
        return false;
      while (Sent < MaxSent && ScriptedTarget::send(To, Part))
        Sent += Part.size();
      return false;
    };
  }
};

/// Endless responses to the request "a1", by the name of the part.
inline auto endlessResponses() -> std::map<std::string, EndlessResponse> {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"head", {Head, "X-Noise: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"}},
      {"field", {Head + "X-Noise: ", "a"}},
      {"status line", {"HTTP/1.1 200 ", "a"}},
      {"no HTTP", {"", "a"}},
      {"sized body", {Head + "Content-Length: 60000000\r\n\r\n", "a"}},
      {"unsized body", {Head + "\r\n", "a"}},
      {"chunks", {Chunked, "4\r\naaaa\r\n"}},
      {"chunk extension", {Chunked + "4;e=", "a"}},
      {"trailer", {Chunked + "0\r\n", "X-Noise: aaaaaaaaaaaaaaaaaaaaa\r\n"}},
      {"interim responses", {"", "HTTP/1.1 102 Processing\r\n\r\n"}},
      {"other responses",
       {"", "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 0\r\n\r\n"}}};
}

} // namespace buckthornring::test
