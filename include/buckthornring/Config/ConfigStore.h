#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Config/Configuration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace buckthornring {

/// Who offers a configuration.
enum class ConfigSource {
  Platform, ///< The object "config/current".
  Peer,     ///< Another instance, over a link.
  Restart,  ///< What the same instance knew before.
};

inline constexpr EnumNames<ConfigSource, 3>
    ConfigSourceNames({"platform", "peer", "restart"});

/// What became of an offer.
enum class ConfigOfferResult {
  Accepted,     ///< Now in force.
  Known,        ///< The configuration that is in force already.
  RefusedLower, ///< A lower generation than the one in force.
  /// The generation in force with another content. Conditional updates rule
  /// this out, so one of the sources is faulty.
  RefusedConflict,
};

inline constexpr EnumNames<ConfigOfferResult, 4> ConfigOfferResultNames(
    {"accepted", "known", "refused-lower", "refused-conflict"});

/// Keeps the configuration of the highest generation offered so far.
///
/// The generation in force never falls, whatever the source: a peer may be
/// behind, and a platform that was restored from a backup would revive
/// withdrawn keys.
class ConfigStore {
public:
  /// Offers a checked configuration with the digest of its content.
  auto offer(std::shared_ptr<const Configuration> Offered,
             const std::string &Digest, ConfigSource Source)
      -> ConfigOfferResult;

  /// Returns the configuration in force, or null before the first offer.
  auto current() const -> std::shared_ptr<const Configuration> {
    return Current;
  }
  /// Returns the generation in force, or 0 before the first offer.
  auto generation() const -> std::uint64_t {
    return Current ? Current->Generation : 0;
  }
  auto digest() const -> const std::string & { return Digest; }
  auto source() const -> ConfigSource { return Source; }

private:
  auto judge(const Configuration &Offered, const std::string &Digest) const
      -> ConfigOfferResult;

  std::shared_ptr<const Configuration> Current;
  std::string Digest;
  ConfigSource Source = ConfigSource::Platform;
};

} // namespace buckthornring
