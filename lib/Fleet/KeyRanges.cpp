#include "Fleet/KeyRanges.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Fencing tokens of each era, far more than an era needs.
constexpr std::uint64_t TokensPerEra = std::uint64_t{1} << 32;

/// Longer owners are cut off. The ids of targets have at most 255 bytes.
constexpr std::size_t MaxOwnerBytes = 512;

/// Most values of a record: an object of 1 MiB, the platform's limit, holds
/// fewer, since a range takes at least 56 bytes for its 6 values.
constexpr std::size_t MaxValues = 150'000;

} // namespace

auto RangeRecord::find(std::uint32_t Key) const -> const KeyRange * {
  const auto Found =
      std::lower_bound(Ranges.begin(), Ranges.end(), Key,
                       [](const KeyRange &Range, std::uint32_t Wanted) {
                         return Range.To < Wanted;
                       });
  return Found == Ranges.end() || Found->From > Key ? nullptr : &*Found;
}

auto RangeRecord::hasOwner() const -> bool {
  return std::any_of(Ranges.begin(), Ranges.end(), [](const KeyRange &Range) {
    return !Range.Owner.empty();
  });
}

auto RangeRecord::enterEra(std::uint64_t NewEra) -> void {
  Era = NewEra;
  NextFence = std::max(NextFence, NewEra * TokensPerEra + 1);
}

auto RangeRecord::isOwner(const TargetId &Target) const -> bool {
  return std::any_of(
      Ranges.begin(), Ranges.end(),
      [&Target](const KeyRange &Range) { return Range.Owner == Target; });
}

auto RangeRecord::json() const -> Json {
  Json List = Json::array();
  for (const KeyRange &Range : Ranges) {
    Json Entry = {{"from", Range.From},
                  {"to", Range.To},
                  {"owner", Range.Owner.str()},
                  {"owner_started_at", Range.OwnerStartedAt},
                  {"fence", Range.Fence}};
    if (!Range.PreviousOwner.empty()) {
      Entry["donor"] = Range.PreviousOwner.str();
      Entry["donor_started_at"] = Range.PreviousOwnerStartedAt;
      Entry["donor_fence"] = Range.PreviousOwnerFence;
    }
    List.push_back(std::move(Entry));
  }
  return {{"era", Era},
          {"term", WriterTerm},
          {"next_fence", NextFence},
          {"ranges", std::move(List)}};
}

auto RangeRecord::parts() -> JsonParts {
  return {.Members = {"era", "term", "next_fence", "ranges", "from", "to",
                      "owner", "owner_started_at", "fence", "donor",
                      "donor_started_at", "donor_fence"},
          .Depth = 3,
          .Values = MaxValues,
          .StringBytes = MaxOwnerBytes};
}

auto RangeRecord::read(const Json &Value) -> Result<RangeRecord> {
  RangeRecord Record;
  try {
    Record.Era = Value.value("era", std::uint64_t{0});
    Record.WriterTerm = Value.value("term", std::uint64_t{0});
    Record.NextFence = Value.at("next_fence").get<std::uint64_t>();
    for (const Json &Entry : Value.at("ranges")) {
      KeyRange Range;
      Range.From = Entry.at("from").get<std::uint32_t>();
      Range.To = Entry.at("to").get<std::uint32_t>();
      Range.Owner = TargetId(Entry.at("owner").get<std::string>());
      Range.OwnerStartedAt = Entry.at("owner_started_at").get<std::int64_t>();
      Range.Fence = Entry.at("fence").get<std::uint64_t>();
      if (Entry.contains("donor")) {
        Range.PreviousOwner = TargetId(Entry.at("donor").get<std::string>());
        Range.PreviousOwnerStartedAt =
            Entry.at("donor_started_at").get<std::int64_t>();
        Range.PreviousOwnerFence = Entry.at("donor_fence").get<std::uint64_t>();
      }
      Record.Ranges.push_back(std::move(Range));
    }
  } catch (const Json::exception &Failure) {
    return Error(std::string("invalid range record: ") + Failure.what());
  }
  return Record;
}

auto RangeRecord::parse(const Json &Value, std::uint32_t Keys)
    -> Result<RangeRecord> {
  auto Record = read(Value);
  if (Record && !Record->valid(Keys))
    return Error(
        "invalid range record: ranges overlap or leave gaps, or a fencing "
        "token is not below next_fence");
  return Record;
}

auto RangeRecord::valid(std::uint32_t Keys) const -> bool {
  std::uint64_t Next = 0;
  for (const KeyRange &Range : Ranges) {
    if (Range.From != Next || Range.To < Range.From ||
        Range.Fence >= NextFence || Range.PreviousOwnerFence >= NextFence)
      return false;
    Next = std::uint64_t{Range.To} + 1;
  }
  return Next == Keys;
}

} // namespace buckthornring
