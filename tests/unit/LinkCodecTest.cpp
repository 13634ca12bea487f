#include "buckthornring/Link/LinkCodec.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto sampleDelta() -> SliceDelta {
  SliceDelta Delta{ServiceId("s"), 4, 3, 1, 2, {}};
  Delta.Entries.push_back({2, {TargetId("a"), TargetId("b"), {3, 9}, true}});
  return Delta;
}

// Guards against a field that is lost or swapped between two instances.
TEST(LinkCodecTest, EveryMessageSurvivesTheRoundTrip) {
  RoutingAck Ack{3, 4, 5, 6, {}};
  Ack.Services[ServiceId("s")] = {3, 2, {{1, 7}}, {{2, 8}}};
  const std::string Bytes("\0\xff\x80 body", 8);
  const std::vector<LinkMessage> All = {
      TermConfirmRequest{
          {1, InstanceId("l"), InstanceId("d"), {InstanceId("x")}}, 2, 3},
      TermConfirm{1, 2, 3},
      TermAnnounce{{1, InstanceId("l"), InstanceId(), {}}},
      TermAck{7, true},
      AssignmentCopy{3, sampleDelta(), true},
      AssignmentCopyAck{3, ServiceId("s"), 4, true},
      RoutingHeartbeat{3, 4, -5, 6, 7, {sampleDelta()}, {ServiceId("s")}},
      Ack,
      ShareRequestMessage{"rate/w", {"i/0", 1, 2, 3, 4, {5, 6}, 7, 8, 9}},
      ShareGrantMessage{"rate/w",
                        {"i/0", 1, 2, 3, 4, {5, 6}, 7, Duration(8), true}},
      ConfigOffer{1, "digest", "content", 2, -1},
      PlatformReachability{true, false, 1, 2},
      Relay{1, "GET", "/", {{"A", "b"}}, Bytes, 9},
      Resign{4, true}};
  ASSERT_EQ(All.size(), std::variant_size_v<LinkMessage>);
  for (const LinkMessage &Message : All) {
    const auto Encoded = LinkCodec::encode(Message);
    const auto Decoded = LinkCodec::decode(Encoded);
    ASSERT_TRUE(Decoded) << Message.index();
    EXPECT_EQ(Decoded->index(), Message.index());
    EXPECT_EQ(LinkCodec::encode(*Decoded), Encoded);
  }
  const auto Sent = LinkCodec::decode(LinkCodec::encode(All[12]));
  EXPECT_EQ(std::get<Relay>(*Sent).Body, Bytes);
  const auto Beat = LinkCodec::decode(LinkCodec::encode(All[6]));
  EXPECT_EQ(std::get<RoutingHeartbeat>(*Beat).ClockUs, -5);
  EXPECT_EQ(std::get<RoutingHeartbeat>(*Beat).Deltas.front(), sampleDelta());
}

// Guards against a damaged message that stops the process or is half read.
TEST(LinkCodecTest, TruncatedAndForeignBytesAreRefused) {
  const auto Whole = LinkCodec::encode(AssignmentCopy{3, sampleDelta(), true});
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    EXPECT_FALSE(LinkCodec::decode({Whole.data(), Size})) << Size;
  const std::vector<std::uint8_t> Foreign = {0x82, 0x18, 0x40, 0x80};
  EXPECT_FALSE(LinkCodec::decode(Foreign));
}

} // namespace
