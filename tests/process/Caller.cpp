#include "Caller.h"

namespace buckthornring::test {

auto Caller::send(const std::string &Address, HttpRequest Request,
                  Duration Limit) -> HttpOutcome {
  auto &Client = Clients[Address];
  if (!Client) {
    auto Created = HttpClient::create(Context, Address);
    if (!Created)
      return {HttpPhase::Connecting, {}, Created.error().message()};
    Client = std::move(Created).value();
  }
  std::optional<HttpOutcome> Result;
  HttpCallOptions Options;
  Options.TimeLimit = Limit;
  Client->request(std::move(Request), Options, [&Result](HttpOutcome Outcome) {
    Result = std::move(Outcome);
  });
  Context.restart();
  while (!Result)
    Context.run_one();
  return std::move(*Result);
}

auto Caller::get(const std::string &Address, const std::string &Target,
                 HttpHeaders Headers) -> HttpOutcome {
  return send(Address, {"GET", Target, std::move(Headers), {}});
}

auto Caller::post(const std::string &Address, const std::string &Target,
                  const std::string &Body, HttpHeaders Headers) -> HttpOutcome {
  return send(Address, {"POST", Target, std::move(Headers), Body});
}

auto Caller::postJson(const std::string &Address, const std::string &Target,
                      const Json &Body) -> Json {
  const auto Outcome = post(Address, Target, Body.dump());
  return Json::parse(Outcome.Response.Body, nullptr, false);
}

auto Caller::fetchJson(const std::string &Address, const std::string &Target)
    -> Json {
  const auto Outcome = get(Address, Target);
  return Json::parse(Outcome.Response.Body, nullptr, false);
}

} // namespace buckthornring::test
