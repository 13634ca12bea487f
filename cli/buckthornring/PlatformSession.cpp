#include "PlatformSession.h"

#include "buckthornring/IO/HttpClient.h"

#include <chrono>
#include <thread>
#include <utility>

namespace buckthornring::cli {

namespace {

/// Delay before a call without response is retried. A restarting platform
/// refuses connections for some time.
constexpr auto RetryDelay = std::chrono::milliseconds(200);
constexpr int ReadAttempts = 3;

/// Starts one asynchronous call and runs the context until it completes.
template <class Response, class Start>
auto await(boost::asio::io_context &Context, Start StartCall) -> Response {
  std::optional<Response> Received;
  StartCall([&Received](Response Value) { Received = std::move(Value); });
  Context.restart();
  while (!Received && Context.run_one() > 0)
    continue;
  return Received ? std::move(*Received) : Response{};
}

} // namespace

auto PlatformSession::create(const std::string &Address, Duration TimeLimit)
    -> Result<std::unique_ptr<PlatformSession>> {
  std::unique_ptr<PlatformSession> Out(new PlatformSession());
  PlatformClientOptions Options;
  Options.Address = Address;
  Options.TimeLimit = TimeLimit;
  auto Client = PlatformClient::create(Out->Context, Options);
  if (!Client)
    return Client.error();
  Out->Client = std::move(*Client);
  return Out;
}

auto PlatformSession::readOnce(const std::string &Name) -> PlatformRead {
  return await<PlatformRead>(
      Context, [&](auto Done) { Client->get(Name, std::move(Done)); });
}

auto PlatformSession::read(const std::string &Name) -> PlatformRead {
  auto Out = readOnce(Name);
  for (int I = 1; I < ReadAttempts && Out.Status == PlatformStatus::Unreachable;
       ++I) {
    std::this_thread::sleep_for(RetryDelay);
    Out = readOnce(Name);
  }
  return Out;
}

auto PlatformSession::readCurrent() -> CurrentConfig {
  const auto Read = read(std::string(ConfigRecord::ObjectName));
  CurrentConfig Out;
  Out.Status = Read.Status;
  if (Read.Status != PlatformStatus::Done)
    return Out;
  Out.Version = Read.Version;
  auto Record = ConfigRecord::parse(Read.Value);
  if (Record) {
    Out.Record = std::move(*Record);
  } else {
    Out.Status = PlatformStatus::Rejected;
    Out.ParseFailure = Record.error().message();
  }
  return Out;
}

auto PlatformSession::instances() -> PlatformInstances {
  return await<PlatformInstances>(
      Context, [&](auto Done) { Client->instances(std::move(Done)); });
}

auto PlatformSession::write(ConfigUpdate &Update) -> void {
  const auto Response = await<PlatformWrite>(Context, [&](auto Done) {
    Client->put(std::string(ConfigRecord::ObjectName), Update.baseVersion(),
                Update.record().text(), std::move(Done));
  });
  switch (Response.Status) {
  case PlatformStatus::Done:
    return Update.onWritten();
  case PlatformStatus::Conflict:
  case PlatformStatus::Absent:
    return Update.onConflict();
  case PlatformStatus::TooLarge:
  case PlatformStatus::Rejected:
    return Update.onRejected(
        "the platform refused the value as " +
        std::string(PlatformStatusNames.name(Response.Status)));
  case PlatformStatus::Unreachable:
    Update.onWriteUnsent();
    break;
  case PlatformStatus::Unknown:
    Update.onWriteUnanswered();
  }
  if (Update.step() != ConfigUpdateStep::Done)
    std::this_thread::sleep_for(RetryDelay);
}

auto PlatformSession::readBack(ConfigUpdate &Update) -> void {
  const auto Read = readOnce(std::string(ConfigRecord::ObjectName));
  if (Read.Status == PlatformStatus::Absent)
    return Update.onRead(nullptr, 0);
  if (Read.Status == PlatformStatus::Done) {
    const auto Record = ConfigRecord::parse(Read.Value);
    if (Record)
      return Update.onRead(&*Record, Read.Version);
  }
  Update.onReadUnanswered();
  if (Update.step() != ConfigUpdateStep::Done)
    std::this_thread::sleep_for(RetryDelay);
}

auto PlatformSession::run(ConfigUpdate &Update) -> void {
  while (Update.step() != ConfigUpdateStep::Done)
    if (Update.step() == ConfigUpdateStep::Write)
      write(Update);
    else
      readBack(Update);
}

auto requestAdmin(const std::string &Address, const std::string &Target,
                  Duration TimeLimit) -> Result<HttpResponse> {
  boost::asio::io_context Context(1);
  auto Client = HttpClient::create(Context, Address);
  if (!Client)
    return Client.error();
  HttpRequest Request;
  Request.Target = Target;
  HttpCallOptions Options;
  Options.TimeLimit = TimeLimit;
  auto Outcome = await<HttpOutcome>(Context, [&](auto Done) {
    (*Client)->request(Request, Options, std::move(Done));
  });
  if (!Outcome.done())
    return Error(Outcome.Reason.empty() ? "no answer" : Outcome.Reason);
  return std::move(Outcome.Response);
}

auto fetchAdmin(const std::string &Address, const std::string &Target,
                Duration TimeLimit) -> Result<std::string> {
  auto Response = requestAdmin(Address, Target, TimeLimit);
  if (!Response)
    return Response.error();
  if (Response->Status != 200)
    return Error("status " + std::to_string(Response->Status));
  return std::move(Response->Body);
}

} // namespace buckthornring::cli
