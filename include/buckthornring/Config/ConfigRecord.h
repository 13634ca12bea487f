#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Value of the platform object "config/current":
/// {"generation","digest","history":[[generation,update]...],"content"}.
///
/// The history lists the latest updates. A writer that got no response finds
/// its own update there, even when later ones followed.
class ConfigRecord {
public:
  static constexpr std::string_view ObjectName = "config/current";
  /// Size limit of a value at the platform.
  static constexpr std::size_t MaxBytes = 1'000'000;
  /// Covers about three minutes at 13,000 changes a day, and takes less than 1%
  /// of MaxBytes.
  static constexpr std::size_t HistoryLimit = 32;

  struct Update {
    std::uint64_t Generation = 0;
    std::string Id;
  };

  /// Creates the record that follows \p Previous (null: the first record), with
  /// the next generation, at least \p MinGeneration. \p UpdateId distinguishes
  /// this update from any other one of the same generation. Fails when the
  /// record exceeds MaxBytes.
  static auto next(const ConfigRecord *Previous, SettingsDocument Content,
                   std::string UpdateId, std::uint64_t MinGeneration = 0)
      -> Result<ConfigRecord>;

  /// Reads the text of a record. Fails when it is malformed or when the digest
  /// does not match the content.
  static auto parse(std::string_view Text) -> Result<ConfigRecord>;

  auto generation() const -> std::uint64_t { return Generation; }
  /// SHA-256 of the canonical text of the content, 64 hex digits.
  auto digest() const -> const std::string & { return Digest; }
  auto updateId() const -> const std::string & { return History.back().Id; }
  auto content() const -> const SettingsDocument & { return Content; }
  auto text() const -> std::string;

  /// Generation that this record followed, 0 for the first record.
  auto baseGeneration() const -> std::uint64_t;
  /// Whether the history contains the update.
  auto hasUpdate(std::string_view UpdateId) const -> bool;
  /// Whether the history contains every update after the generation.
  auto reachesBackTo(std::uint64_t Generation) const -> bool;

  /// Returns the digest of a content.
  static auto digestOf(const SettingsDocument &Content) -> std::string;

private:
  explicit ConfigRecord(SettingsDocument Content)
      : Content(std::move(Content)) {}

  std::uint64_t Generation = 0;
  std::string Digest;
  std::vector<Update> History; ///< Oldest first; the last one is this update.
  SettingsDocument Content;
};

} // namespace buckthornring
