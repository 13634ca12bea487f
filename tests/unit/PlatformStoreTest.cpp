#include "Store.h"

#include "support/ScriptedTarget.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

// Guards against a limit on the whole transfer: instances with slow links never
// got a large configuration.
TEST(PlatformStoreTest, LargeListIsReadToTheEndOverASlowLink) {
  const nlohmann::json Body = {
      {"store_revision", 7},
      {"items",
       {{{"metadata", {{"name", "main"}, {"revision", 7}}},
         {"spec", std::string(400'000, 'x')}}}}};
  const std::string Text = Body.dump();
  ScriptedTarget SlowStore([&Text](ScriptedTarget::Tcp::socket &Socket,
                                   const std::string &) {
    constexpr std::size_t Parts = 25;
    ScriptedTarget::send(Socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                                     std::to_string(Text.size()) + "\r\n\r\n");
    const std::size_t PartSize = Text.size() / Parts + 1;
    for (std::size_t From = 0; From < Text.size(); From += PartSize) {
      ScriptedTarget::send(Socket, Text.substr(From, PartSize));
      std::this_thread::sleep_for(100ms);
    }
    return true;
  });
  boost::asio::io_context Io;
  const auto Store = platform::Store::create(Io, SlowStore.address()).value();
  StoreStatus Status = StoreStatus::Unknown;
  Store->list("config",
              [&Status](const StoreChanges &Read) { Status = Read.Status; });
  Io.run_for(6s);
  EXPECT_EQ(Status, StoreStatus::Done);
}

} // namespace
