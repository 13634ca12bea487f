#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Config/Configuration.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornring {

/// SHA-256 digest.
using KeyDigest = std::array<std::uint8_t, 32>;

/// Immutable table of caller keys by digest.
///
/// The router stores only digests of caller keys. A lookup hashes the caller's
/// key and compares 32 bytes, whatever the length of the key. Its timing
/// reveals nothing about stored keys, since a caller cannot choose a digest.
class CallerKeys {
public:
  struct Entry {
    std::string Name;
    WorkspaceId Workspace;
    bool Withdrawn = false;
  };

  CallerKeys() = default;
  /// Skips keys whose digest is not 64 hex digits; a checked configuration has
  /// no such key.
  explicit CallerKeys(const Configuration &Source);

  /// Returns the entry of the key as sent by the caller, or null when it is
  /// unknown. The entry is valid as long as this object.
  auto find(std::string_view Key) const -> const Entry *;
  auto find(const KeyDigest &Digest) const -> const Entry *;

  auto size() const -> std::size_t { return Entries.size(); }

  static auto digest(std::string_view Key) -> KeyDigest;
  /// Returns 64 lower-case hex digits.
  static auto hex(const KeyDigest &Digest) -> std::string;
  /// Returns nothing unless the text is 64 hex digits.
  static auto parseHex(std::string_view Text) -> std::optional<KeyDigest>;

private:
  /// The bytes of a digest are uniformly distributed, so its first bytes
  /// serve as the hash.
  struct DigestHash {
    auto operator()(const KeyDigest &Digest) const -> std::size_t;
  };

  std::unordered_map<KeyDigest, Entry, DigestHash> Entries;
};

} // namespace buckthornring
