#pragma once

#include <gtest/gtest.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <unistd.h>

namespace buckthornring::testing {

/// One randomized run. Returns a description of the failure, or an empty text.
using Schedule = std::function<std::string(std::uint64_t Seed)>;

inline auto replayLine() -> char (&)[256] {
  static char Line[256] = "";
  return Line;
}

/// Prints the replay command when a violated invariant aborts the process.
inline auto printReplayOnAbort(int) -> void {
  const std::string Text = replayLine();
  const auto Ignored = write(STDERR_FILENO, Text.data(), Text.size());
  (void)Ignored;
  std::signal(SIGABRT, SIG_DFL);
}

inline auto recordReplayCommand(std::uint64_t Seed) -> void {
  const auto *Info = ::testing::UnitTest::GetInstance()->current_test_info();
  std::snprintf(replayLine(), sizeof(replayLine()),
                "replay: BTR_SEED=%llu build/property_tests "
                "--gtest_filter=%s.%s\n",
                static_cast<unsigned long long>(Seed),
                Info == nullptr ? "?" : Info->test_suite_name(),
                Info == nullptr ? "?" : Info->name());
  std::signal(SIGABRT, printReplayOnAbort);
}

/// Runs seeds 1 to \p DefaultCount, or to 10,000 with BTR_LONG, or only
/// BTR_SEED. Stops at the first failure and prints its seed and replay command.
inline auto expectAllPass(std::uint64_t DefaultCount, const Schedule &Run)
    -> void {
  std::uint64_t First = 1;
  std::uint64_t Last =
      std::getenv("BTR_LONG") != nullptr ? 10'000 : DefaultCount;
  if (const char *Only = std::getenv("BTR_SEED"))
    First = Last = std::strtoull(Only, nullptr, 10);
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    recordReplayCommand(Seed);
    const std::string Failure = Run(Seed);
    if (Failure.empty())
      continue;
    ADD_FAILURE() << "seed " << Seed << ": " << Failure << "\n" << replayLine();
    return;
  }
}

/// For a run with a deliberate fault: expects a failure for one of the seeds 1
/// to \p DefaultCount, which shows that the check detects the fault.
inline auto expectSomeFailure(std::uint64_t DefaultCount, const Schedule &Run)
    -> void {
  for (std::uint64_t Seed = 1; Seed <= DefaultCount; ++Seed)
    if (!Run(Seed).empty())
      return;
  ADD_FAILURE() << "the deliberate fault was not detected in " << DefaultCount
                << " schedules";
}

} // namespace buckthornring::testing
