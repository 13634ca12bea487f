#include "buckthornring/Config/ConfigStore.h"

#include "buckthornring/Common/Invariant.h"

#include <utility>

namespace buckthornring {

auto ConfigStore::judge(const Configuration &Offered,
                        const std::string &OfferedDigest) const
    -> ConfigOfferResult {
  if (Offered.Generation < generation())
    return ConfigOfferResult::RefusedLower;
  if (Offered.Generation > generation())
    return ConfigOfferResult::Accepted;
  return OfferedDigest == Digest ? ConfigOfferResult::Known
                                 : ConfigOfferResult::RefusedConflict;
}

auto ConfigStore::offer(std::shared_ptr<const Configuration> Offered,
                        const std::string &OfferedDigest,
                        ConfigSource OfferedBy) -> ConfigOfferResult {
  invariant(Offered != nullptr && Offered->Generation > 0,
            "an offered configuration has a generation");
  const auto Verdict = judge(*Offered, OfferedDigest);
  if (Verdict != ConfigOfferResult::Accepted)
    return Verdict;
  invariant(Offered->Generation > generation(),
            "the configuration in force never reverts");
  Current = std::move(Offered);
  Digest = OfferedDigest;
  Source = OfferedBy;
  return Verdict;
}

} // namespace buckthornring
