#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Config/Configuration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace buckthornring {

/// Source of an offered configuration.
enum class ConfigSource {
  Platform, ///< The object "config/current".
  Peer,     ///< Another instance, over a link.
  Restart,  ///< The same instance before its restart.
};

inline constexpr EnumNames<ConfigSource, 3>
    ConfigSourceNames({"platform", "peer", "restart"});

/// Result of an offer.
enum class ConfigOfferResult {
  Accepted,       ///< Now in force.
  AlreadyInForce, ///< The same configuration is in force.
  RefusedLower,   ///< A lower generation than the one in force.
  /// The generation in force with a different content. Conditional updates
  /// prevent this, so one of the sources is faulty.
  RefusedConflict,
};

inline constexpr EnumNames<ConfigOfferResult, 4> ConfigOfferResultNames(
    {"accepted", "known", "refused-lower", "refused-conflict"});

/// Keeps the configuration of the highest generation offered so far.
///
/// The generation in force never decreases, whatever the source: a peer may lag
/// behind, and a platform restored from a backup would make withdrawn keys
/// valid again.
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
  auto evaluate(const Configuration &Offered, const std::string &Digest) const
      -> ConfigOfferResult;

  std::shared_ptr<const Configuration> Current;
  std::string Digest;
  ConfigSource Source = ConfigSource::Platform;
};

} // namespace buckthornring
