#include "support/RequestPath.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <sstream>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

/// Replaces what differs between runs.
auto steady(std::string Text) -> std::string {
  Text = std::regex_replace(Text, std::regex("Btr-Request-Id: [^\n]*"),
                            "Btr-Request-Id: *");
  return std::regex_replace(Text, std::regex("Btr-Deadline-Ms: [0-9]+"),
                            "Btr-Deadline-Ms: *");
}

/// Prefixes each line, so that the transcript shows who sent it.
auto quoted(const std::string &Text, const char *Prefix) -> std::string {
  std::string Out;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    Out += Line.empty() ? std::string(Prefix) : Prefix + (" " + Line);
    Out += '\n';
  }
  return Out;
}

auto readFile(const std::string &Path) -> std::string {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

// Guards against an unintended change of what targets and callers see: fields
// added, stripped and kept, framing, statuses and refusals of a whole session.
TEST(RequestPathGoldenTest, SessionMatchesTheFile) {
  ScriptedTarget Target(ScriptedTarget::answering(
      "HTTP/1.1 201 Made\r\nX-Kept: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
      "Btr-Run: unknown\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n"));
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  ScriptedTarget Owner(ScriptedTarget::answering(
      "HTTP/1.1 200 OK\r\nBtr-Epoch: 3.7\r\nContent-Length: 2\r\n\r\nok"));
  Path.addTarget("stock", "s1", Owner);
  Path.publish();

  const std::string Key = RequestPath::Key;
  const std::vector<std::string> Requests = {
      "GET /pay/1?x=%20 HTTP/1.1\r\nHost: h\r\nAccept: a\r\n" + Key + "\r\n",
      "POST /pay/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: 7\r\n" + Key +
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      std::string("PUT /stock/k1 HTTP/1.1\r\nHost: h\r\n") +
          "Authorization: Bearer secret\r\nBtr-Epoch: 9.9\r\n" +
          "Content-Length: 2\r\n\r\nhi",
      "GET /open/1 HTTP/1.1\r\nHost: h\r\nX-Caller-Key: any\r\n\r\n",
      "GET /pay/1 HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /nowhere HTTP/1.1\r\nHost: h\r\n" + Key + "\r\n",
      "GET /stock HTTP/1.1\r\nHost: h\r\n" + Key + "\r\n",
      "GET /pay/../stock/k1 HTTP/1.1\r\nHost: h\r\n" + Key + "\r\n",
  };
  RawCaller Caller = Path.connect();
  std::string Transcript;
  std::size_t SeenByTarget = 0;
  std::size_t SeenByOwner = 0;
  for (const std::string &Request : Requests) {
    Transcript += quoted(Request, "caller>");
    Caller.send(Request);
    const bool Chunked = Request.find(" /pay/1") != std::string::npos &&
                         Request.find("secret") != std::string::npos;
    const bool Open = Request.find(" /open") != std::string::npos;
    const bool Owned = Request.starts_with("PUT");
    const auto View = Caller.readUntil(Chunked || Open ? "0\r\n\r\n"
                                       : Owned         ? "\r\n\r\nok"
                                                       : "\r\n\r\n");
    for (; SeenByTarget < Target.requests().size(); ++SeenByTarget)
      Transcript += quoted(Target.requests()[SeenByTarget], "target<");
    for (; SeenByOwner < Owner.requests().size(); ++SeenByOwner)
      Transcript += quoted(Owner.requests()[SeenByOwner], "owner<");
    Transcript += quoted(View.Bytes, "caller<") + "\n";
  }
  Transcript = steady(Transcript);
  const std::string File =
      std::string(BTR_SOURCE_DIR) + "/tests/golden/request_path.txt";
  if (std::getenv("BTR_UPDATE_GOLDEN") != nullptr)
    std::ofstream(File) << Transcript;
  EXPECT_EQ(Transcript, readFile(File));
}

} // namespace
