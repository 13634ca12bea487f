#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Value of the platform object "config/current":
/// {"generation","digest","history":[[generation,update]...],"content"}.
///
/// The history names the latest updates, so that a writer whose answer was
/// lost recognises its own update below later ones.
class ConfigRecord {
public:
  static constexpr std::string_view ObjectName = "config/current";
  /// Largest value that the platform stores.
  static constexpr std::size_t MaxBytes = 1'000'000;
  /// At 13,000 changes a day the history covers about three minutes, and takes
  /// less than 1% of MaxBytes.
  static constexpr std::size_t HistoryLimit = 32;

  struct Update {
    std::uint64_t Generation = 0;
    std::string Id;
  };

  /// Makes the record that follows \p Previous (null: the first record), with
  /// the next generation. \p UpdateId distinguishes this update from any other
  /// one of the same generation. Fails when the record exceeds MaxBytes.
  static auto next(const ConfigRecord *Previous, SettingsDocument Content,
                   std::string UpdateId) -> Result<ConfigRecord>;

  /// Reads the text of a record. Fails when it is malformed or when the digest
  /// does not belong to the content.
  static auto parse(std::string_view Text) -> Result<ConfigRecord>;

  auto generation() const -> std::uint64_t { return Generation; }
  /// SHA-256 of the canonical text of the content, 64 hex digits.
  auto digest() const -> const std::string & { return Digest; }
  auto updateId() const -> const std::string & { return History.back().Id; }
  auto content() const -> const SettingsDocument & { return Content; }
  auto text() const -> std::string;

  /// Returns the identifier of the update that made the generation, or nothing
  /// when it lies in the future or the history does not reach back to it.
  auto updateOf(std::uint64_t Generation) const -> std::optional<std::string>;

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
