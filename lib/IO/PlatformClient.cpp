#include "buckthornring/IO/PlatformClient.h"

#include "Common/JsonText.h"
#include "buckthornring/IO/HttpClient.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

auto entityTag(std::uint64_t Version) -> std::string {
  return '"' + std::to_string(Version) + '"';
}

auto readVersion(const HttpResponse &Response) -> std::uint64_t {
  auto Text = Response.Headers.find("ETag").value_or("");
  if (Text.size() > 2 && Text.front() == '"')
    Text = Text.substr(1, Text.size() - 2);
  std::uint64_t Version = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  return Version;
}

auto objectTarget(const std::string &Name) -> std::string {
  return "/v1/objects/" + encodePercent(Name);
}

// A read has no effect, so a lost response never makes its status Unknown.
auto readStatus(const HttpOutcome &Outcome) -> PlatformStatus {
  if (!Outcome.done())
    return PlatformStatus::Unreachable;
  switch (Outcome.Response.Status) {
  case 200:
    return PlatformStatus::Done;
  case 404:
    return PlatformStatus::Absent;
  case 400:
    return PlatformStatus::Rejected;
  default:
    return PlatformStatus::Unreachable;
  }
}

// A server error may come from any hop between the caller and the store, so it
// does not show whether the write took effect.
auto writeStatus(const HttpOutcome &Outcome) -> PlatformStatus {
  if (!Outcome.done())
    return Outcome.mayHaveRun() ? PlatformStatus::Unknown
                                : PlatformStatus::Unreachable;
  switch (Outcome.Response.Status) {
  case 200:
    return PlatformStatus::Done;
  case 400:
    return PlatformStatus::Rejected;
  case 404:
    return PlatformStatus::Absent;
  case 412:
    return PlatformStatus::Conflict;
  case 413:
    return PlatformStatus::TooLarge;
  default:
    return PlatformStatus::Unknown;
  }
}

auto platformWrite(const HttpOutcome &Outcome) -> PlatformWrite {
  return {writeStatus(Outcome),
          Outcome.done() ? readVersion(Outcome.Response) : 0};
}

auto readChanges(const HttpOutcome &Outcome) -> PlatformChanges {
  PlatformChanges Changes;
  Changes.Status = readStatus(Outcome);
  if (Changes.Status != PlatformStatus::Done)
    return Changes;
  try {
    const auto Body = Json::parse(Outcome.Response.Body);
    Changes.Revision = Body.at("revision").get<std::uint64_t>();
    for (const auto &Entry : Body.at("objects")) {
      PlatformObject Object;
      Object.Name = Entry.at("name").get<std::string>();
      Object.Version = Entry.at("version").get<std::uint64_t>();
      if (!Entry.at("value").is_null())
        Object.Value = Entry.at("value").get<std::string>();
      Changes.Objects.push_back(std::move(Object));
    }
  } catch (const Json::exception &) {
    return {};
  }
  return Changes;
}

auto readInstances(const HttpOutcome &Outcome) -> PlatformInstances {
  PlatformInstances List;
  List.Status = readStatus(Outcome);
  if (List.Status != PlatformStatus::Done)
    return List;
  try {
    const auto Body = Json::parse(Outcome.Response.Body);
    for (const auto &Entry : Body.at("instances")) {
      ListedInstance Instance;
      Instance.Instance = InstanceId(Entry.at("id").get<std::string>());
      Instance.Address = Entry.at("address").get<std::string>();
      Instance.DataCentre =
          DataCentreId(Entry.at("data_centre").get<std::string>());
      Instance.State =
          InstanceStateNames.parse(Entry.at("state").get<std::string>())
              .value_or(InstanceState::Leaving);
      List.Instances.push_back(std::move(Instance));
    }
  } catch (const Json::exception &) {
    return {};
  }
  return List;
}

auto request(const PlatformClientOptions &Options, std::string Method,
             std::string Target) -> HttpRequest {
  HttpRequest Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  if (!Options.DataCentre.empty())
    Request.Headers.add("Btr-Data-Centre", Options.DataCentre.str());
  return Request;
}

auto callOptions(Duration TimeLimit) -> HttpCallOptions {
  HttpCallOptions CallOptions;
  CallOptions.TimeLimit = TimeLimit;
  return CallOptions;
}

} // namespace

auto PlatformClient::create(boost::asio::io_context &Context,
                            PlatformClientOptions Options)
    -> Result<std::unique_ptr<PlatformClient>> {
  HttpClientOptions HttpOptions;
  // A list of 1 MB values, escaped as JSON, is much larger than one value.
  HttpOptions.BodyLimit = 256ULL * 1024 * 1024;
  HttpOptions.OnUnreadable = Options.OnUnreadable;
  auto CallClient = HttpClient::create(Context, Options.Address, HttpOptions);
  auto WatchClient = HttpClient::create(Context, Options.Address, HttpOptions);
  if (!CallClient)
    return CallClient.error();
  return std::unique_ptr<PlatformClient>(
      new PlatformClient(std::move(Options), std::move(CallClient).value(),
                         std::move(WatchClient).value()));
}

PlatformClient::PlatformClient(PlatformClientOptions Options,
                               std::unique_ptr<HttpClient> CallClient,
                               std::unique_ptr<HttpClient> WatchClient)
    : Options(std::move(Options)), CallClient(std::move(CallClient)),
      WatchClient(std::move(WatchClient)) {}

PlatformClient::~PlatformClient() = default;

auto PlatformClient::get(const std::string &Name,
                         std::function<void(PlatformRead)> Done) -> void {
  CallClient->request(request(Options, "GET", objectTarget(Name)),
                      callOptions(Options.TimeLimit),
                      [Done = std::move(Done)](HttpOutcome Outcome) {
                        PlatformRead Read;
                        Read.Status = readStatus(Outcome);
                        if (Read.Status == PlatformStatus::Done) {
                          Read.Version = readVersion(Outcome.Response);
                          Read.Value = std::move(Outcome.Response.Body);
                        }
                        Done(std::move(Read));
                      });
}

auto PlatformClient::put(const std::string &Name, std::uint64_t ExpectedVersion,
                         std::string Value,
                         std::function<void(PlatformWrite)> Done) -> void {
  auto Request = request(Options, "PUT", objectTarget(Name));
  if (ExpectedVersion == 0)
    Request.Headers.add("If-None-Match", "*");
  else
    Request.Headers.add("If-Match", entityTag(ExpectedVersion));
  Request.Body = std::move(Value);
  CallClient->request(std::move(Request), callOptions(Options.TimeLimit),
                      [Done = std::move(Done)](const HttpOutcome &Outcome) {
                        Done(platformWrite(Outcome));
                      });
}

auto PlatformClient::remove(const std::string &Name,
                            std::uint64_t ExpectedVersion,
                            std::function<void(PlatformWrite)> Done) -> void {
  auto Request = request(Options, "DELETE", objectTarget(Name));
  Request.Headers.add("If-Match", entityTag(ExpectedVersion));
  CallClient->request(std::move(Request), callOptions(Options.TimeLimit),
                      [Done = std::move(Done)](const HttpOutcome &Outcome) {
                        Done(platformWrite(Outcome));
                      });
}

auto PlatformClient::list(const std::string &Prefix,
                          std::function<void(PlatformChanges)> Done) -> void {
  CallClient->request(
      request(Options, "GET", "/v1/objects?prefix=" + encodePercent(Prefix)),
      callOptions(Options.TimeLimit),
      [Done = std::move(Done)](const HttpOutcome &Outcome) {
        Done(readChanges(Outcome));
      });
}

auto PlatformClient::watch(const std::string &Prefix,
                           std::uint64_t AfterRevision, Duration Wait,
                           std::function<void(PlatformChanges)> Done) -> void {
  const auto WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  WatchClient->request(request(Options, "GET",
                               "/v1/objects?prefix=" + encodePercent(Prefix) +
                                   "&after=" + std::to_string(AfterRevision) +
                                   "&wait_ms=" + std::to_string(WaitMs)),
                       callOptions(Wait + Options.WatchMargin),
                       [Done = std::move(Done)](const HttpOutcome &Outcome) {
                         Done(readChanges(Outcome));
                       });
}

auto PlatformClient::instances(std::function<void(PlatformInstances)> Done)
    -> void {
  CallClient->request(request(Options, "GET", "/v1/instances"),
                      callOptions(Options.TimeLimit),
                      [Done = std::move(Done)](const HttpOutcome &Outcome) {
                        Done(readInstances(Outcome));
                      });
}

auto PlatformClient::announce(const ListedInstance &Entry,
                              std::function<void(PlatformWrite)> Done) -> void {
  auto Request = request(
      Options, "PUT", "/v1/instances/" + encodePercent(Entry.Instance.str()));
  Request.Body =
      writeJson(Json{{"address", Entry.Address},
                     {"data_centre", Entry.DataCentre.str()},
                     {"state", InstanceStateNames.name(Entry.State)}});
  CallClient->request(std::move(Request), callOptions(Options.TimeLimit),
                      [Done = std::move(Done)](const HttpOutcome &Outcome) {
                        Done(platformWrite(Outcome));
                      });
}

} // namespace buckthornring
