// Preloaded into instances by the soak: their time of day jumps by up to 5 s in
// both directions every 700 ms, differently in each process. Other clocks are
// those of the system.

#include <cstdint>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr std::int64_t PeriodMs = 700;
constexpr std::uint64_t MaxJumpSeconds = 5;

auto jumpSeconds() -> std::int64_t {
  std::timespec Time{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &Time);
  const std::int64_t Ms = Time.tv_sec * 1000 + Time.tv_nsec / 1'000'000;
  std::uint64_t Hash = static_cast<std::uint64_t>(Ms / PeriodMs + getpid());
  Hash = (Hash * 0x9E3779B97F4A7C15U) >> 33U;
  return static_cast<std::int64_t>(Hash % (2 * MaxJumpSeconds + 1)) -
         static_cast<std::int64_t>(MaxJumpSeconds);
}

} // namespace

extern "C" auto clock_gettime(clockid_t Clock, std::timespec *Time) noexcept
    -> int {
  const auto Status = static_cast<int>(syscall(SYS_clock_gettime, Clock, Time));
  if (Status == 0 && Clock == CLOCK_REALTIME)
    Time->tv_sec += jumpSeconds();
  return Status;
}
