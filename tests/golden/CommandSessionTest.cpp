#include "process/Caller.h"
#include "process/ChildProcess.h"
#include "support/ShellCommand.h"

#include "buckthornring/IO/HttpServer.h"

#include <boost/asio/executor_work_guard.hpp>

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <thread>
#include <utility>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

const std::string Folder =
    std::string(BTR_SOURCE_DIR) + "/tests/golden/command";

auto replaceAll(std::string Text, const std::string &From,
                const std::string &To) -> std::string {
  for (auto At = Text.find(From); At != std::string::npos;
       At = Text.find(From, At + To.size()))
    Text.replace(At, From.size(), To);
  return Text;
}

/// HTTP server on a thread of its own that calls the given handler.
class Endpoint {
public:
  using Handler =
      std::function<void(const HttpRequest &, const HttpResponder &)>;

  explicit Endpoint(Handler Answer) {
    Server = HttpServer::start(Context, {}, std::move(Answer)).value();
    Thread = std::thread([this] { Context.run(); });
  }

  ~Endpoint() {
    Context.stop();
    Thread.join();
  }

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Server->port());
  }

private:
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::unique_ptr<HttpServer> Server;
  std::thread Thread;
};

/// Admin endpoint with fixed responses.
auto fixedAdminResponses(std::string Status, std::string Metrics)
    -> Endpoint::Handler {
  return [Status = std::move(Status), Metrics = std::move(Metrics)](
             const HttpRequest &Request, const HttpResponder &Responder) {
    Responder.respond(
        {200, {}, Request.path() == "/status" ? Status : Metrics});
  };
}

/// Instance that answers where from files.
auto recordedWhere() -> Endpoint::Handler {
  return [](const HttpRequest &Request, const HttpResponder &Responder) {
    const std::string Name = Request.query("path").value_or("/none").substr(1);
    std::ifstream File(Folder + "/where/" + Name + ".json");
    if (!File)
      return Responder.respond({404, {}, R"({"error": "no route matches"})"});
    Responder.respond(
        {200, {}, std::string(std::istreambuf_iterator<char>(File), {})});
  };
}

/// Platform that answers the first call with 404 and aborts all later ones.
auto unresponsiveAfterFirst() -> Endpoint::Handler {
  // Shared, since the server copies its handler.
  return [First = std::make_shared<bool>(true)](
             const HttpRequest &, const HttpResponder &Responder) {
    if (std::exchange(*First, false))
      return Responder.respond({404, {}, ""});
    Responder.abort();
  };
}

/// Platform that holds no object and rejects every write as too large.
auto fullPlatform() -> Endpoint::Handler {
  return [](const HttpRequest &Request, const HttpResponder &Responder) {
    Responder.respond({Request.Method == "GET" ? 404U : 413U, {}, ""});
  };
}

/// Replays the lines of a session: "$ ARGUMENTS" runs the command, "! ..."
/// prepares the platform. Addresses have names in the file, since the kernel
/// chooses the ports.
class Session {
public:
  Session() {
    Names = {{"PLATFORM", Platform.waitForLine("listening ")},
             {"ADMIN1", First.address()},
             {"ADMIN2", Second.address()},
             {"SILENT", Silent.address()},
             {"FULL", Full.address()},
             {"INSTANCE", Instance.address()},
             {"CLOSED", "127.0.0.1:1"}};
  }

  auto replay(const std::string &Line) -> std::string {
    const auto Rest = Line.substr(2);
    return Line + "\n" + (Line[0] == '$' ? run(Rest) : prepare(Rest));
  }

private:
  auto run(std::string Arguments) -> std::string {
    for (const auto &[Name, Address] : Names)
      Arguments = replaceAll(Arguments, Name, Address);
    const auto Command =
        "cd '" + Folder + "' && env -u BUCKTHORNRING_PLATFORM '" +
        BTR_BINARY_DIR + "/buckthornring' " + Arguments + " 2>&1";
    auto [Output, Status] = runShell(Command);
    for (const auto &[Name, Address] : Names)
      Output = replaceAll(Output, Address, Name);
    return Output + "[exit " + std::to_string(Status) + "]\n";
  }

  auto prepare(const std::string &Rest) -> std::string {
    const auto &Address = Names[0].second;
    std::istringstream Words(Rest);
    std::string Verb;
    std::string Name;
    std::string Value;
    Words >> Verb;
    if (Verb == "writes")
      return "writes " + Client.fetchJson(Address, "/stats")["writes"].dump() +
             "\n";
    if (Verb != "faults")
      Words >> Name;
    std::getline(Words >> std::ws, Value);
    HttpRequest Request{"POST", "/faults", {}, Value};
    if (Verb == "instance")
      Request = {"PUT", "/v1/instances/" + Name, {}, Value};
    if (Verb == "put")
      Request = {"PUT", "/v1/objects/" + Name, condition(Name), Value};
    const auto Outcome = Client.send(Address, Request);
    EXPECT_EQ(Outcome.Response.Status, 200U) << Rest << Outcome.Reason;
    return "";
  }

  auto condition(const std::string &Name) -> HttpHeaders {
    const auto Found = Client.get(Names[0].second, "/v1/objects/" + Name);
    if (Found.Response.Status == 404)
      return {{"If-None-Match", "*"}};
    const auto Tag = Found.Response.Headers.find("ETag");
    return {{"If-Match", std::string(Tag.value_or(""))}};
  }

  ChildProcess Platform{"standin_platform", {"--max-seconds", "60"}};
  Endpoint First{fixedAdminResponses(
      R"({"instance":"i1","generation":1})",
      "# HELP x\nbuckthornring_refusals_total{reason=\"over-rate\"} 3\n"
      "buckthornring_refusals_total{reason=\"no-owner\"} 0\n")};
  Endpoint Second{fixedAdminResponses(
      R"({"instance":"i2","generation":0})",
      "buckthornring_refusals_total{workspace=\"a\",reason=\"over-rate\"} 4\n"
      "buckthornring_refusals_total{reason=\"queue-full\"} 1\n"
      "other{reason=\"no-owner\"} 9\n")};
  Endpoint Silent{unresponsiveAfterFirst()};
  Endpoint Full{fullPlatform()};
  Endpoint Instance{recordedWhere()};
  Caller Client;
  std::vector<std::pair<std::string, std::string>> Names;
};

class CommandSessionTest : public testing::TestWithParam<const char *> {};

// Guards against unintended changes of the command's output, exit codes or
// effects, on which operators' scripts depend. BTR_GOLDEN_UPDATE=1 rewrites the
// files.
TEST_P(CommandSessionTest, OutputMatchesTheRecording) {
  const auto Path = Folder + "/" + GetParam() + ".session";
  std::ifstream Stream(Path);
  const std::string Recorded(std::istreambuf_iterator<char>(Stream), {});
  ASSERT_FALSE(Recorded.empty()) << Path;
  Session Replay;
  std::string Actual;
  std::istringstream Lines(Recorded);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with("$ ") || Line.starts_with("! "))
      Actual += Replay.replay(Line);
  if (std::getenv("BTR_GOLDEN_UPDATE") != nullptr)
    std::ofstream(Path) << Actual;
  else
    EXPECT_EQ(Actual, Recorded);
}

INSTANTIATE_TEST_SUITE_P(All, CommandSessionTest,
                         testing::Values("files", "usage", "changes", "races",
                                         "faults", "lookups", "explain",
                                         "where"),
                         [](const auto &Info) {
                           return std::string(Info.param);
                         });

} // namespace
