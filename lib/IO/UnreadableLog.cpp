#include "IO/UnreadableLog.h"

#include "IO/SteadyTime.h"

#include <utility>

namespace buckthornring {

auto UnreadableLog::request(std::string_view Reason) -> void {
  write("request unreadable: " + std::string(Reason));
}

auto UnreadableLog::response(std::string_view Address, std::string_view Reason)
    -> void {
  write("response of " + std::string(Address) +
        " unreadable: " + std::string(Reason));
}

auto UnreadableLog::clientOptions() -> HttpClientOptions {
  HttpClientOptions Options;
  Options.OnUnreadable = [this](const std::string &Address,
                                const std::string &Reason) {
    response(Address, Reason);
  };
  return Options;
}

auto UnreadableLog::write(std::string Text) -> void {
  const TimePoint Now = steadyNow();
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    Lines = 0;
  }
  if (Lines == LinesPerSecond) {
    ++LeftOut;
    return;
  }
  ++Lines;
  if (LeftOut > 0)
    Text += " (" + std::to_string(std::exchange(LeftOut, 0)) +
            " earlier lines left out)";
  Journal.warning(Text);
}

} // namespace buckthornring
