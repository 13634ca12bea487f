#include "buckthornring/Link/LinkCodec.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto sampleDelta() -> SliceDelta {
  SliceDelta Delta{ServiceId("s"), 4, 3, 1, 2, {}};
  Delta.Entries.push_back({2, {TargetId("a"), TargetId("b"), {3, 9}, true}});
  return Delta;
}

// Guards against a field that is lost or swapped in the encoding.
TEST(LinkCodecTest, EveryMessageTypeRoundTrips) {
  RoutingAck Ack{3, 4, 5, 6, {}};
  Ack.Services[ServiceId("s")] = {3, 2, {{1, 7}}, {{2, 8}}};
  const std::string Bytes("\0\xff\x80 body", 8);
  const std::vector<LinkMessage> Messages = {
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
  ASSERT_EQ(Messages.size(), std::variant_size_v<LinkMessage>);
  for (const LinkMessage &Message : Messages) {
    const auto Encoded = LinkCodec::encode(Message);
    const auto Decoded = LinkCodec::decode(Encoded);
    ASSERT_TRUE(Decoded) << Message.index();
    EXPECT_EQ(Decoded->index(), Message.index());
    EXPECT_EQ(LinkCodec::encode(*Decoded), Encoded);
  }
  const auto DecodedRelay = LinkCodec::decode(LinkCodec::encode(Messages[12]));
  EXPECT_EQ(std::get<Relay>(*DecodedRelay).Body, Bytes);
  const auto Heartbeat = LinkCodec::decode(LinkCodec::encode(Messages[6]));
  EXPECT_EQ(std::get<RoutingHeartbeat>(*Heartbeat).ClockUs, -5);
  EXPECT_EQ(std::get<RoutingHeartbeat>(*Heartbeat).Deltas.front(),
            sampleDelta());
}

// Guards against a damaged message that terminates the process or is decoded in
// part.
TEST(LinkCodecTest, TruncatedAndUnknownMessagesAreRejected) {
  const auto Complete =
      LinkCodec::encode(AssignmentCopy{3, sampleDelta(), true});
  for (std::size_t Size = 0; Size < Complete.size(); ++Size)
    EXPECT_FALSE(LinkCodec::decode({Complete.data(), Size})) << Size;
  const std::vector<std::uint8_t> UnknownType = {0x82, 0x18, 0x40, 0x80};
  EXPECT_FALSE(LinkCodec::decode(UnknownType));
}

} // namespace
