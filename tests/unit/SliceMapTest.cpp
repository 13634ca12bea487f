#include "buckthornring/Ownership/SliceMap.h"
#include "buckthornring/Ownership/LeaseMessage.h"
#include "buckthornring/Ownership/TermRecord.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto owner(const char *Name, Epoch At) -> SliceAssignment {
  return {TargetId(Name), TargetId("next"), At, true};
}

// Guards against a hash change, which would move every key at an upgrade.
TEST(SliceMapTest, SliceIsTheTopBitsOfXxh64) {
  // XXH64 of the empty string with seed 0 is ef46db3751d8e999.
  EXPECT_EQ(SliceMap::sliceOf("", 256), 0xefU);
  EXPECT_EQ(SliceMap::sliceOf("", 65536), 0xef46U);
  EXPECT_EQ(SliceMap::sliceOf("", 1), 0U);
}

// Guards against a slice count for which the top bits are not a slice.
TEST(SliceMapTest, RefusesSliceCountsThatAreNoPowerOfTwo) {
  EXPECT_FALSE(SliceMap::make(ServiceId("s"), 0));
  EXPECT_FALSE(SliceMap::make(ServiceId("s"), 300));
  EXPECT_FALSE(SliceMap::make(ServiceId("s"), 131072));
  EXPECT_TRUE(SliceMap::make(ServiceId("s"), 65536));
}

// Guards against a replica that differs from the leader's map after deltas.
TEST(SliceMapTest, DeltasBringAReplicaUpToDate) {
  auto Leader = SliceMap::make(ServiceId("s"), 8).value();
  auto Replica = SliceMap::make(ServiceId("s"), 8).value();
  Leader.beginTerm(2);
  Leader.set(1, owner("a", {2, 1}));
  ASSERT_TRUE(*Replica.apply(Leader.delta(0, 0)));
  const std::uint64_t Seen = Replica.version();
  Leader.set(1, owner("b", {2, 2}));
  Leader.set(5, owner("c", {2, 3}));
  const SliceDelta Delta = Leader.delta(2, Seen);
  EXPECT_EQ(Delta.Entries.size(), 2U);
  ASSERT_TRUE(*Replica.apply(Delta));
  EXPECT_EQ(Replica.at(1), Leader.at(1));
  EXPECT_EQ(Replica.at(5), Leader.at(5));
  EXPECT_FALSE(*Replica.apply(Delta)) << "a repeated delta is old";
  Leader.set(6, owner("d", {2, 4}));
  const std::uint64_t Missed = Leader.version();
  Leader.set(7, owner("d", {2, 5}));
  EXPECT_FALSE(Replica.apply(Leader.delta(2, Missed))) << "version missed";
}

// Guards against versions of two terms being compared with each other.
TEST(SliceMapTest, AHigherTermStartsWithACompleteDelta) {
  auto Map = SliceMap::make(ServiceId("s"), 4).value();
  Map.beginTerm(1);
  Map.set(0, owner("a", {1, 1}));
  Map.beginTerm(2);
  EXPECT_EQ(Map.delta(1, 2).From, 0U);
  EXPECT_EQ(Map.delta(1, 2).Entries.size(), 4U);
}

// Guards against an epoch that is used for two owners.
TEST(SliceMapTest, AnEpochThatDoesNotRiseStopsTheProcess) {
  auto Map = SliceMap::make(ServiceId("s"), 4).value();
  Map.beginTerm(1);
  Map.set(0, owner("a", {1, 5}));
  EXPECT_DEATH(Map.set(0, owner("b", {1, 5})), "rises when its owner changes");
  EXPECT_DEATH(Map.set(0, owner("a", {1, 4})), "never falls");
}

// Guards against an assignment that is lost between two leaders.
TEST(SliceMapTest, SegmentsSurviveTheRoundTrip) {
  auto Map = SliceMap::make(ServiceId("s"), 16384).value();
  Map.beginTerm(1);
  Map.set(3, owner("a", {1, 1}));
  Map.set(9000, owner("b", {1, 2}));
  auto Read = SliceMap::make(ServiceId("s"), 16384).value();
  ASSERT_EQ(Map.segments(), 2U);
  for (std::uint32_t Segment = 0; Segment < 2; ++Segment) {
    const std::string Text = Map.segmentText(Segment, 1);
    EXPECT_LT(Text.size(), 1000000U);
    EXPECT_EQ(Read.loadSegment(Text).value(), 1U);
  }
  EXPECT_EQ(Read.at(3).Owner, TargetId("a"));
  EXPECT_EQ(Read.at(9000).At, (Epoch{1, 2}));
  EXPECT_FALSE(Read.loadSegment("{}"));
  EXPECT_FALSE(Read.loadSegment("nonsense"));
}

// Guards against field names that differ between leader and target.
TEST(LeaseMessageTest, JsonSurvivesTheRoundTrip) {
  LeaseMessage Message{TargetId("t"),
                       ServiceId("s"),
                       InstanceId("i#1"),
                       3,
                       4,
                       "start",
                       5,
                       6,
                       {{1, {3, 2}}},
                       {{2, {3, 1}}},
                       true};
  const auto Read = parseLeaseMessage(leaseMessageText(Message));
  ASSERT_TRUE(Read);
  EXPECT_EQ(leaseMessageText(*Read), leaseMessageText(Message));
  EXPECT_EQ(Read->Grant, Message.Grant);
  LeaseReply Reply{
      3,   4, 2, "start", 99, LeaseRefusal::StaleTerm, true, {{1, {3, 2}}},
      {7}, 1};
  const auto Answer = parseLeaseReply(leaseReplyText(Reply));
  ASSERT_TRUE(Answer);
  EXPECT_EQ(leaseReplyText(*Answer), leaseReplyText(Reply));
  EXPECT_FALSE(parseLeaseReply("{}"));
  std::string Negative = leaseReplyText(Reply);
  Negative.replace(Negative.find("\"term\":3"), 8, "\"term\":-3");
  EXPECT_FALSE(parseLeaseReply(Negative)) << "it would depose the leader";
  EXPECT_FALSE(parseLeaseMessage("[1]"));
  const TermRecord Record{4, InstanceId("a"), InstanceId(), {InstanceId("b")}};
  EXPECT_EQ(*parseTermRecord(termRecordText(Record)), Record);
  EXPECT_FALSE(parseTermRecord("{\"term\":-1}"));
}

} // namespace
