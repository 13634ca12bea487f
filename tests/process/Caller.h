#pragma once

#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace buckthornring::test {

/// Blocking HTTP client for tests; each thread needs its own.
class Caller {
public:
  using Json = nlohmann::json;

  auto send(const std::string &Address, HttpRequest Request,
            Duration Limit = std::chrono::seconds(5)) -> HttpOutcome;
  auto get(const std::string &Address, const std::string &Target,
           HttpHeaders Headers = {}) -> HttpOutcome;
  auto post(const std::string &Address, const std::string &Target,
            const std::string &Body, HttpHeaders Headers = {}) -> HttpOutcome;
  /// Posts JSON and returns the JSON response, or a discarded value when the
  /// body is not JSON.
  auto postJson(const std::string &Address, const std::string &Target,
                const Json &Body) -> Json;
  auto fetchJson(const std::string &Address, const std::string &Target) -> Json;
  /// Closes kept-alive connections.
  auto reset() -> void { Clients.clear(); }

private:
  boost::asio::io_context Context{1};
  std::map<std::string, std::unique_ptr<HttpClient>> Clients;
};

} // namespace buckthornring::test
