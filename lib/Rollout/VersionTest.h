#pragma once

#include "Rollout/Rollout.h"

namespace buckthornring {

/// How much evidence a comparison asks for before it calls a version bad.
enum class Strictness {
  Early, ///< While more evidence can still come: overwhelming evidence only.
  Final, ///< At the verdict: the likelier of the two explanations.
};

/// Result of comparing a new version with the old one.
struct VersionComparison {
  bool Bad = false;
  const char *Cause = ""; ///< "failures", "times" or empty.
  /// Probability of at least so many failures if the new version fails as often
  /// as the old one may.
  double FailureTail = 1;
  double SlownessRatio = 1; ///< Geometric mean of the times, new to old.
};

/// Compares the outcomes of two versions, on one route or on all of them.
/// \p Excused failures of the new version are left out.
///
/// Failures: binomial test against a rate somewhat above that of the old
/// version. Times: the difference of the mean logarithms of the times against
/// its standard error; a single slow request weighs little in it. Times are
/// compared within each route, since routes differ more than versions do.
auto compareVersions(const OutcomesByRoute &Old, const OutcomesByRoute &New,
                     std::uint32_t Excused, Strictness Wanted)
    -> VersionComparison;

} // namespace buckthornring
