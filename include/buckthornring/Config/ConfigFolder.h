#pragma once

#include "buckthornring/Config/SettingsDocument.h"

#include <string>
#include <vector>

namespace buckthornring {

/// Text of one settings file.
struct SettingsFile {
  std::string Name; ///< Appears in errors and determines the merge order.
  std::string Text;
};

/// Merges the files of a configuration folder into one document.
class ConfigFolder {
public:
  /// Reads all files and merges them in the byte order of their names. Objects
  /// merge deeply; any other value, an array included, replaces the value of an
  /// earlier file. Each key keeps the file and line of its value; an object
  /// merged from several files keeps those of its first occurrence.
  ///
  /// Errors: those of SettingsReader for every file, no files at all, two files
  /// of the same name.
  static auto merge(std::vector<SettingsFile> Files)
      -> Checked<SettingsDocument>;
};

} // namespace buckthornring
