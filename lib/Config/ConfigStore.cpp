#include "buckthornring/Config/ConfigStore.h"

#include "buckthornring/Common/Invariant.h"

#include <utility>

namespace buckthornring {

auto ConfigStore::evaluate(const Configuration &Offered,
                           const std::string &OfferedDigest) const
    -> ConfigOfferResult {
  if (Offered.Generation < generation())
    return ConfigOfferResult::RefusedLower;
  if (Offered.Generation > generation())
    return ConfigOfferResult::Accepted;
  return OfferedDigest == Digest ? ConfigOfferResult::AlreadyInForce
                                 : ConfigOfferResult::RefusedConflict;
}

auto ConfigStore::offer(std::shared_ptr<const Configuration> Offered,
                        const std::string &OfferedDigest,
                        ConfigSource OfferedBy) -> ConfigOfferResult {
  invariant(Offered != nullptr && Offered->Generation > 0,
            "an offered configuration has a generation");
  const auto OfferResult = evaluate(*Offered, OfferedDigest);
  if (OfferResult != ConfigOfferResult::Accepted)
    return OfferResult;
  invariant(Offered->Generation > generation(),
            "the configuration in force never reverts");
  Current = std::move(Offered);
  Digest = OfferedDigest;
  Source = OfferedBy;
  return OfferResult;
}

} // namespace buckthornring
