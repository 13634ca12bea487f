#include "buckthornring/Attempt/ConnectionPolicy.h"

namespace buckthornring {

auto ConnectionPolicy::mustClose(const ConnectionState &Connection,
                                 TimePoint Now) const -> bool {
  return Connection.ExchangeOpen ||
         Now - Connection.IdleSince > Settings.MaxIdle;
}

auto ConnectionPolicy::canReuse(const ConnectionState &Connection,
                                bool Idempotent, TimePoint Now) const -> bool {
  if (mustClose(Connection, Now))
    return false;
  return Idempotent ||
         Now - Connection.IdleSince <= Settings.MaxIdleNonIdempotent;
}

auto ConnectionPolicy::choose(std::span<const ConnectionState> Idle,
                              bool Idempotent, TimePoint Now) const
    -> std::optional<std::size_t> {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < Idle.size(); ++Index) {
    if (!canReuse(Idle[Index], Idempotent, Now))
      continue;
    if (!Best || Idle[Index].IdleSince > Idle[*Best].IdleSince)
      Best = Index;
  }
  return Best;
}

} // namespace buckthornring
