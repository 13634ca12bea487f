#include "buckthornring/Observe/Counters.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

using namespace buckthornring;

namespace {

// Guards against increments that are lost between threads, whether they share
// a stripe or not.
TEST(CountersTest, CountsFromSeveralThreads) {
  Counters All(2);
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (std::size_t Index = 0; Index < 4; ++Index)
    Threads.emplace_back([&All, Index] {
      auto &Stripe = All.stripe(Index % 2);
      for (int I = 0; I < 10'000; ++I) {
        Stripe.add(RefusalReason::SlowSender);
        Stripe.add(RetryReason::Hedge);
        Stripe.add(RequestOutcome::Answered);
        Stripe.add(StatusClass::Success);
      }
    });
  for (auto &Each : Threads)
    Each.join();
  const auto Totals = All.totals();
  EXPECT_EQ(Totals.of(RefusalReason::SlowSender), 40'000U);
  EXPECT_EQ(Totals.of(RefusalReason::OverRate), 0U);
  EXPECT_EQ(Totals.of(RetryReason::Hedge), 40'000U);
  EXPECT_EQ(Totals.of(RequestOutcome::Answered), 40'000U);
  EXPECT_EQ(Totals.of(StatusClass::Success), 40'000U);
}

// Guards against a status counted in the wrong class at the class borders.
TEST(CountersTest, ClassifiesStatuses) {
  EXPECT_EQ(statusClass(99), StatusClass::Other);
  EXPECT_EQ(statusClass(100), StatusClass::Informational);
  EXPECT_EQ(statusClass(299), StatusClass::Success);
  EXPECT_EQ(statusClass(300), StatusClass::Redirection);
  EXPECT_EQ(statusClass(429), StatusClass::CallerError);
  EXPECT_EQ(statusClass(599), StatusClass::ServerError);
  EXPECT_EQ(statusClass(600), StatusClass::Other);
}

// Guards against a write outside the stripes.
TEST(CountersTest, RejectsAStripeOutOfRange) {
  Counters All(1);
  EXPECT_DEATH((void)All.stripe(1), "the counter stripe exists");
}

} // namespace
