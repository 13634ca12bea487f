#include "buckthornring/IO/SettingsFiles.h"

#include "buckthornring/Config/ConfigRecord.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace buckthornring {

namespace {

namespace fs = std::filesystem;

class FileReader {
public:
  auto add(const fs::path &Path) -> void {
    const auto Name = Path.string();
    std::error_code Failure;
    const auto Bytes = fs::file_size(Path, Failure);
    if (Failure)
      return report(Name, Failure.message(), "a readable file");
    if (Bytes > ConfigRecord::MaxBytes)
      return report(Name, std::to_string(Bytes) + " bytes",
                    "at most " + std::to_string(ConfigRecord::MaxBytes) +
                        " bytes");
    std::ifstream Stream(Path, std::ios::binary);
    std::string Text(std::istreambuf_iterator<char>(Stream), {});
    if (!Stream)
      return report(Name, "an unreadable file", "a readable file");
    Files.push_back({Name, std::move(Text)});
  }

  auto report(const std::string &Name, std::string Found, std::string Allowed)
      -> void {
    Errors.push_back({{Name, 0}, "", std::move(Found), std::move(Allowed)});
  }

  auto finish() -> Checked<std::vector<SettingsFile>> {
    if (!Errors.empty())
      return {std::nullopt, std::move(Errors)};
    return {std::move(Files), {}};
  }

private:
  std::vector<SettingsFile> Files;
  std::vector<SettingsError> Errors;
};

} // namespace

auto readSettingsFiles(const std::string &Path)
    -> Checked<std::vector<SettingsFile>> {
  FileReader Reader;
  std::error_code Failure;
  if (!fs::is_directory(Path, Failure)) {
    Reader.add(Path);
    return Reader.finish();
  }
  std::vector<fs::path> Paths;
  for (fs::directory_iterator Entry(Path, Failure), End;
       !Failure && Entry != End; Entry.increment(Failure)) {
    const auto Name = Entry->path().filename().string();
    if (Entry->path().extension() == ".json" && Name.front() != '.')
      Paths.push_back(Entry->path());
  }
  std::sort(Paths.begin(), Paths.end());
  for (const auto &Entry : Paths)
    Reader.add(Entry);
  if (Failure)
    Reader.report(Path, Failure.message(), "a readable folder");
  else if (Paths.empty())
    Reader.report(Path, "no *.json file", "a folder with *.json files");
  return Reader.finish();
}

auto readConfigFolder(const std::string &Path) -> Checked<SettingsDocument> {
  auto Files = readSettingsFiles(Path);
  if (!Files)
    return {std::nullopt, std::move(Files.Errors)};
  return ConfigFolder::merge(*std::move(Files.Value));
}

} // namespace buckthornring
