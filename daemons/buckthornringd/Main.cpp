#include "Entry/EntryInstance.h"
#include "Platform.h"
#include "buckthornring/Config/SettingsReader.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <optional>
#include <sstream>

using namespace buckthornring;

namespace {

auto readFile(const std::string &Path) -> std::optional<std::string> {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

auto settingsPath(int Count, char **Arguments) -> Result<std::string> {
  try {
    cxxopts::Options Options("buckthornringd",
                             "Request router with key ownership");
    Options.add_options()("settings", "Settings file (JSON with comments)",
                          cxxopts::value<std::string>())("help",
                                                         "Print this text");
    const auto Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") != 0) {
      std::printf("%s\n", Options.help().c_str());
      std::exit(EXIT_SUCCESS);
    }
    if (!Parsed.count("settings"))
      return Error(Options.help());
    return Parsed["settings"].as<std::string>();
  } catch (const cxxopts::exceptions::exception &Failure) {
    return Error(Failure.what());
  }
}

auto readDocument(const std::string &Path) -> Result<SettingsDocument> {
  const auto Text = readFile(Path);
  if (!Text)
    return Error("cannot read " + Path);
  return SettingsReader::read(*Text, Path).result();
}

auto fail(const Error &Reason) -> int {
  std::fprintf(stderr, "buckthornringd: %s\n", Reason.message().c_str());
  return 2;
}

/// Runs a gateway on the users' platform.
auto runGateway(const SettingsDocument &Document, const std::string &Path)
    -> int {
  auto Settings = GatewaySettings::check(Document).result();
  if (!Settings)
    return fail(Settings.error());
  auto Instance = platform::createGateway(std::move(Settings).value());
  if (!Instance)
    return fail(Instance.error());
  const auto Reload = [Path]() -> Result<GatewaySettings> {
    const auto NewDocument = readDocument(Path);
    if (!NewDocument)
      return NewDocument.error();
    return GatewaySettings::check(*NewDocument).result();
  };
  Instance.value()->setReload(Reload, Path);
  const bool Stopped = Instance.value()->run();
  // Destroying all connections and tables may last beyond the grace period, and
  // it ends a response without a length in order instead of resetting it.
  std::_Exit(Stopped ? EXIT_SUCCESS : EXIT_FAILURE);
}

/// Runs an entry instance with the project's own platform and targets.
auto runEntry(const SettingsDocument &Document) -> int {
  auto Settings = DaemonSettings::check(Document).result();
  if (!Settings)
    return fail(Settings.error());
  auto Instance = EntryInstance::create(std::move(Settings).value());
  if (!Instance)
    return fail(Instance.error());
  std::printf("%s\n", Instance.value()->listeningLine().c_str());
  std::fflush(stdout);
  Instance.value()->run();
  return 0;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  // The instance handles it once it runs, and the settings are read later.
  std::signal(SIGHUP, SIG_IGN);
  // Writes to a log without a reader fail instead.
  std::signal(SIGPIPE, SIG_IGN);
  const auto Path = settingsPath(Count, Arguments);
  if (!Path)
    return fail(Path.error());
  const auto Document = readDocument(*Path);
  if (!Document)
    return fail(Document.error());
  try {
    return GatewaySettings::describes(*Document) ? runGateway(*Document, *Path)
                                                 : runEntry(*Document);
  } catch (const std::exception &Failure) {
    return fail(Error(std::string("unexpected error: ") + Failure.what()));
  }
}
