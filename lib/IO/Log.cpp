#include "IO/Log.h"

// The easylogging++ library is compiled as part of this source only.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)

#include <climits>
#include <cstdint>
#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace buckthornring {

namespace {

/// Whether a write of up to PIPE_BUF bytes to standard error returns at once.
auto outputHasRoom() -> bool {
  pollfd Output{STDERR_FILENO, POLLOUT, 0};
  return ::poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

/// Writes to standard error: standard output carries the line with the
/// listening addresses, which other programs read. Lines for which there is no
/// room are dropped, since the threads that log must not wait for a reader. The
/// library calls it for one line at a time.
class ErrorOutput final : public el::LogDispatchCallback {
protected:
  auto handle(const el::LogDispatchData *Data) -> void override {
    std::string Line = Data->logMessage()->logger()->logBuilder()->build(
        Data->logMessage(), true);
    if (!outputHasRoom()) {
      ++DroppedLines;
      return;
    }
    if (DroppedLines > 0)
      Line.insert(0, std::to_string(std::exchange(DroppedLines, 0)) +
                         " lines were dropped\n");
    if (Line.size() > PIPE_BUF) {
      Line.resize(PIPE_BUF);
      Line.back() = '\n';
    }
    // There is nowhere to report a failure.
    static_cast<void>(::write(STDERR_FILENO, Line.data(), Line.size()) == -1);
  }

private:
  std::uint64_t DroppedLines = 0;
};

auto configureOnce() -> void {
  static const bool Configured = [] {
    el::Configurations Settings;
    Settings.setToDefault();
    Settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    Settings.setGlobally(el::ConfigurationType::ToFile, "false");
    el::Loggers::reconfigureAllLoggers(Settings);
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<ErrorOutput>("ErrorOutput");
    return true;
  }();
  static_cast<void>(Configured);
}

} // namespace

Log::Log(std::string_view Component)
    : Prefix("[" + std::string(Component) + "] ") {
  configureOnce();
}

auto Log::info(std::string_view Text) const -> void {
  LOG(INFO) << Prefix << std::string(Text);
}

auto Log::warning(std::string_view Text) const -> void {
  LOG(WARNING) << Prefix << std::string(Text);
}

auto Log::error(std::string_view Text) const -> void {
  LOG(ERROR) << Prefix << std::string(Text);
}

} // namespace buckthornring
