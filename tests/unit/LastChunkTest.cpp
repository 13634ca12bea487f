#include "support/TargetExchange.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

class LastChunkTest : public testing::Test {
protected:
  LastChunkTest() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

const std::string Head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

auto responseInPartsIsRead() -> bool {
  const std::string Body = "0\r\n\r\n";
  for (std::size_t First = 0; First < Body.size(); ++First)
    for (std::size_t Second = First; Second < Body.size(); ++Second)
      if (exchangeWithTarget(
              {Head + Body.substr(0, First), Body.substr(First, Second - First),
               Body.substr(Second)},
              AfterResponse::StayOpen) != ExchangeResult::Answered)
        return false;
  return exchangeWithTarget({Head, "0", "\r", "\n", "\r", "\n"},
                            AfterResponse::StayOpen) ==
         ExchangeResult::Answered;
}

// Guards against an end of the process when the only chunk of a response, the
// last one, arrives in parts.
TEST_F(LastChunkTest, OfAResponseMayArriveInParts) {
  EXPECT_EXIT(std::_Exit(responseInPartsIsRead() ? 0 : 1),
              testing::ExitedWithCode(0), "");
}

} // namespace
