#include "IO/Log.h"

// The easylogging++ library is compiled as part of this source only.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)

#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace buckthornring {

namespace {

/// Writes to standard error: standard output carries the line with the
/// listening addresses, which other programs read.
class ErrorOutput final : public el::LogDispatchCallback {
protected:
  auto handle(const el::LogDispatchData *Data) -> void override {
    const std::string Line = Data->logMessage()->logger()->logBuilder()->build(
        Data->logMessage(), true);
    std::fwrite(Line.data(), 1, Line.size(), stderr);
  }
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
