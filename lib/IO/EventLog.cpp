#include "IO/EventLog.h"

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace buckthornring {

namespace {

/// A pipe that poll() reports as writable accepts this many bytes without
/// blocking (PIPE_BUF).
constexpr std::size_t AtomicWriteBytes = 4096;

auto appendEscaped(std::string &Out, std::string_view Text) -> void {
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Out.push_back('\\');
      Out.push_back(Character);
    } else if (Byte < 0x20 || Byte >= 0x7f) {
      std::array<char, 8> Escape{};
      std::snprintf(Escape.data(), Escape.size(), "\\u%04x", Byte);
      Out.append(Escape.data());
    } else {
      Out.push_back(Character);
    }
  }
}

auto unixMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

EventLine::EventLine(std::string_view Event)
    : Text("{\"time_ms\":" + std::to_string(unixMs())) {
  field("event", Event);
}

auto EventLine::key(std::string_view Name) -> void {
  Text.append(",\"").append(Name).append("\":");
}

auto EventLine::field(std::string_view Name, std::string_view Value)
    -> EventLine & {
  key(Name);
  Text.push_back('"');
  appendEscaped(Text, Value);
  Text.push_back('"');
  return *this;
}

auto EventLine::field(std::string_view Name, bool Value) -> EventLine & {
  return number(Name, Value ? "true" : "false");
}

auto EventLine::field(std::string_view Name, double Value) -> EventLine & {
  if (!std::isfinite(Value))
    return number(Name, "null");
  std::array<char, 32> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%.6g", Value);
  return number(Name, Digits.data());
}

auto EventLine::number(std::string_view Name, const std::string &Digits)
    -> EventLine & {
  key(Name);
  Text.append(Digits);
  return *this;
}

auto EventLog::admits(EventClass Class, TimePoint Now) -> bool {
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    WrittenLines = {};
  }
  const auto Index = static_cast<std::size_t>(Class);
  const std::uint32_t Limit = Class == EventClass::Served
                                  ? Bounds.ServedPerSecond
                                  : Bounds.FailuresPerSecond;
  if (Class == EventClass::StateChange || WrittenLines.at(Index) < Limit) {
    ++WrittenLines.at(Index);
    return true;
  }
  ++DroppedLines.at(Index);
  ++UnreportedLines;
  return false;
}

auto EventLog::append(std::string Line) -> void {
  Line.push_back('\n');
  if (Buffer.size() + Line.size() > Bounds.BufferBytes) {
    ++UnreportedLines;
    return;
  }
  Buffer.append(Line);
}

auto EventLog::reportDropped() -> void {
  constexpr std::uint64_t ReportThreshold = 1000;
  if (UnreportedLines < ReportThreshold)
    return;
  EventLine Line("lines-dropped");
  Line.field("instance", Instance).field("lines", UnreportedLines);
  UnreportedLines = 0;
  append(Line.text());
}

auto EventLog::write(const EventLine &Line) -> void {
  reportDropped();
  EventLine Complete(Line);
  Complete.field("instance", Instance);
  append(Complete.text());
  flush();
}

auto EventLog::flush() -> void {
  while (!Buffer.empty()) {
    pollfd Reader{Descriptor, POLLOUT, 0};
    if (::poll(&Reader, 1, 0) != 1 || (Reader.revents & POLLOUT) == 0)
      return;
    const auto Count = ::write(Descriptor, Buffer.data(),
                               std::min(Buffer.size(), AtomicWriteBytes));
    if (Count <= 0) {
      // A failed write means that there is no reader, so the lines are dropped.
      Buffer.clear();
      return;
    }
    Buffer.erase(0, static_cast<std::size_t>(Count));
  }
}

} // namespace buckthornring
