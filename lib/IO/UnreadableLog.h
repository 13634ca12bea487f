#pragma once

#include "IO/Log.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/IO/HttpClient.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornring {

/// Log of messages that cannot be read. A faulty peer may send any number of
/// them, so the lines of a second are limited; the next one tells how many were
/// left out. Used by one thread.
class UnreadableLog {
public:
  static constexpr unsigned LinesPerSecond = 50;

  /// \p Component is the lines' prefix, for example "traffic".
  explicit UnreadableLog(std::string_view Component) : Journal(Component) {}
  UnreadableLog(const UnreadableLog &) = delete;
  auto operator=(const UnreadableLog &) -> UnreadableLog & = delete;

  auto request(std::string_view Reason) -> void;
  auto response(std::string_view Address, std::string_view Reason) -> void;
  /// For clients that end before this log.
  auto clientOptions() -> HttpClientOptions;

private:
  auto write(std::string Text) -> void;

  Log Journal;
  TimePoint SecondStart = LongAgo;
  unsigned Lines = 0; ///< Written in this second.
  std::uint64_t LeftOut = 0;
};

} // namespace buckthornring
