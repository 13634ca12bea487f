#pragma once

#include "buckthornring/Config/ConfigFolder.h"

#include <string>

namespace buckthornring {

/// Reads the *.json files of a folder, or one file, for ConfigFolder::merge.
/// Subfolders and hidden files are skipped.
///
/// Reports all errors at once: a path that does not exist, a file that cannot
/// be read, a file above 1,000,000 bytes (more than the platform stores).
auto readSettingsFiles(const std::string &Path)
    -> Checked<std::vector<SettingsFile>>;

/// Reads and merges a configuration folder or file.
auto readConfigFolder(const std::string &Path) -> Checked<SettingsDocument>;

} // namespace buckthornring
