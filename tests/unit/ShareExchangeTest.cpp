#include "Entry/ShareExchange.h"

#include "IO/SteadyTime.h"
#include "buckthornring/IO/HttpServer.h"
#include "buckthornring/Limits/ShareHolder.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

const std::string Quantity = "rate/w";

/// A platform without objects that accepts every write.
auto emptyPlatform(boost::asio::io_context &Context)
    -> std::unique_ptr<HttpServer> {
  auto Server = HttpServer::start(
      Context, {}, [](const HttpRequest &Request, const HttpResponder &To) {
        HttpResponse Answer;
        Answer.Status = Request.Method == "GET" ? 404 : 200;
        Answer.Headers.set("ETag", "\"1\"");
        To.respond(std::move(Answer));
      });
  return std::move(Server).value();
}

/// One instance: links, exchange and one holder.
struct Member {
  std::unique_ptr<PlatformClient> Platform;
  std::unique_ptr<PeerLinks> Links;
  std::unique_ptr<ShareExchange> Shares;
  ShareHolder Holder;
  boost::asio::ip::tcp::endpoint Address;

  Member(boost::asio::io_context &Context, const std::string &Name,
         std::uint16_t PlatformPort)
      : Holder(Name + "/0", ShareKind::Rate, 1, steadyNow()) {
    PlatformClientOptions Options;
    Options.Address = "127.0.0.1:" + std::to_string(PlatformPort);
    Platform = std::move(PlatformClient::create(Context, Options)).value();
    const PeerIdentity Self{InstanceId(Name), DataCentreId("a"), Name, ""};
    Links = PeerLinks::create(
        Context, Self,
        {[this](const PeerIdentity &From, const LinkMessage &Message) {
           Shares->receive(From.Process, Message);
         },
         {}});
    Address =
        Links->listen({boost::asio::ip::make_address("127.0.0.1"), 0}).value();
    Shares = ShareExchange::create(
        *Platform, *Links,
        {Self,
         [this](const std::string &, const ShareGrant &Grant) {
           Holder.apply(Grant, steadyNow());
         },
         [this](std::uint64_t Term) { Holder.follow(Term); }});
    Configuration Config;
    Config.DataCentres[DataCentreId("a")] = {};
    Config.Workspaces[WorkspaceId("w")].RatePerSecond = 1000;
    Config.Workspaces[WorkspaceId("w")].Burst = 100;
    Shares->setConfiguration(Config);
  }
};

// Guards against an instance that gets no share for ever because it learned of
// the leader only after the leader had replaced its deputy, which raises the
// term of the record but not that of the ledgers.
TEST(ShareExchangeTest, LateFollowerGetsItsShare) {
  boost::asio::io_context Context;
  const auto Platform = emptyPlatform(Context);
  Member Leader(Context, "leader", Platform->port());
  Member Late(Context, "late", Platform->port());
  Leader.Links->setAddresses({Late.Address});
  Late.Links->setAddresses({Leader.Address});

  const InstanceId Giver("leader");
  Leader.Shares->setGiver({Giver, 1, steadyNow() + 1s, {}});
  Leader.Shares->setGiver({Giver, 2, steadyNow() + 1s, {}});
  Late.Shares->setGiver({Giver, 2, std::nullopt, {}});
  bool Taken = false;
  const auto End = std::chrono::steady_clock::now() + 10s;
  while (!Taken && std::chrono::steady_clock::now() < End) {
    Context.run_one_for(10ms);
    const TimePoint Now = steadyNow();
    Leader.Shares->setGiver({Giver, 2, Now + 1s, {}});
    Leader.Shares->tick();
    Late.Holder.recordArrival();
    Late.Holder.setWaiting(1);
    if (Late.Holder.reportDue(Now))
      Late.Shares->submit(Quantity, Late.Holder.makeRequest(Now));
    Taken = Late.Holder.tryTake(Now);
  }
  EXPECT_TRUE(Taken);
}

} // namespace
