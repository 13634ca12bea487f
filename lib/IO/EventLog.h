#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace buckthornring {

/// Class of a log line. Each class has its own limit of lines per second.
enum class EventClass {
  StateChange, ///< The process's view of the fleet changed. Never rate-limited.
  Failure,     ///< A request was refused or failed.
  Served,      ///< A request was served.
};

inline constexpr EnumNames<EventClass, 3> EventClassNames({"belief", "failure",
                                                           "served"});

/// One structured log line, a JSON object.
class EventLine {
public:
  explicit EventLine(std::string_view Event);

  auto field(std::string_view Name, std::string_view Value) -> EventLine &;
  auto field(std::string_view Name, const char *Value) -> EventLine & {
    return field(Name, std::string_view(Value));
  }
  auto field(std::string_view Name, bool Value) -> EventLine &;
  auto field(std::string_view Name, double Value) -> EventLine &;
  auto field(std::string_view Name, std::integral auto Value) -> EventLine & {
    return number(Name, std::to_string(Value));
  }
  /// Written in milliseconds; the name should end in "_ms".
  auto field(std::string_view Name, Duration Value) -> EventLine & {
    return field(Name, static_cast<double>(Value.count()) / 1000.0);
  }

  auto text() const -> std::string { return Text + "}"; }

private:
  auto number(std::string_view Name, const std::string &Digits) -> EventLine &;
  auto key(std::string_view Name) -> void;

  std::string Text;
};

/// Structured log of a process on standard output.
///
/// Lines are buffered and written only as far as the reader accepts them
/// without blocking, so a stalled reader delays nothing. Lines beyond the
/// limits are dropped and counted; the count is written with the next line that
/// fits. Used by one thread.
class EventLog {
public:
  struct Limits {
    std::uint32_t ServedPerSecond = 10;
    std::uint32_t FailuresPerSecond = 50;
    std::size_t BufferBytes = std::size_t{256} * 1024;
  };

  explicit EventLog(std::string Instance) : EventLog(std::move(Instance), {}) {}
  EventLog(std::string Instance, Limits Bounds, int Descriptor = 1)
      : Instance(std::move(Instance)), Bounds(Bounds), Descriptor(Descriptor) {}

  /// Whether a line of the class may be written now, so that callers can skip
  /// composing it. A line that is not admitted counts as dropped.
  auto admits(EventClass Class, TimePoint Now) -> bool;
  auto write(const EventLine &Line) -> void;

  /// Writes as much as the reader accepts without blocking.
  auto flush() -> void;
  auto dropped(EventClass Class) const -> std::uint64_t {
    return DroppedLines.at(static_cast<std::size_t>(Class));
  }

private:
  auto append(std::string Line) -> void;
  auto reportDropped() -> void;

  std::string Instance;
  Limits Bounds;
  int Descriptor;
  std::string Buffer;
  TimePoint SecondStart = LongAgo;
  std::array<std::uint32_t, EventClassNames.size()> WrittenLines{};
  std::array<std::uint64_t, EventClassNames.size()> DroppedLines{};
  std::uint64_t UnreportedLines = 0;
};

} // namespace buckthornring
