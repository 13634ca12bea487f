#include "buckthornring/Ownership/SliceMap.h"

#include "Common/JsonText.h"
#include "buckthornring/Common/Invariant.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <map>

namespace buckthornring {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t MaxSlices = 65536;

/// Numbers the target names of one segment.
class NameTable {
public:
  auto index(const TargetId &Target) -> int {
    if (Target.empty())
      return -1;
    auto [Place, Added] =
        Indexes.emplace(Target.str(), static_cast<int>(Names.size()));
    if (Added)
      Names.push_back(Target.str());
    return Place->second;
  }

  auto names() const -> const std::vector<std::string> & { return Names; }

private:
  std::map<std::string, int> Indexes;
  std::vector<std::string> Names;
};

auto nameAt(const std::vector<std::string> &Names, std::int64_t Index)
    -> TargetId {
  if (Index < 0)
    return TargetId();
  return TargetId(Names.at(static_cast<std::size_t>(Index)));
}

} // namespace

SliceMap::SliceMap(ServiceId Service, std::uint32_t Slices)
    : Service(std::move(Service)), Entries(Slices), ChangedAt(Slices, 0) {}

auto SliceMap::make(ServiceId Service, std::uint32_t Slices)
    -> Result<SliceMap> {
  if (!std::has_single_bit(Slices) || Slices > MaxSlices)
    return Error("slice count " + std::to_string(Slices) +
                 " is not a power of two from 1 to 65536");
  return SliceMap(std::move(Service), Slices);
}

auto SliceMap::sliceOf(std::string_view Key, std::uint32_t Slices)
    -> std::uint32_t {
  const std::uint64_t Hash = XXH64(Key.data(), Key.size(), 0);
  // A shift by 64 is undefined, so one slice is handled apart.
  if (Slices <= 1)
    return 0;
  return static_cast<std::uint32_t>(Hash >> (64U - std::countr_zero(Slices)));
}

auto SliceMap::at(std::uint32_t Slice) const -> const SliceAssignment & {
  invariant(Slice < Entries.size(), "slice is inside the map");
  return Entries[Slice];
}

auto SliceMap::set(std::uint32_t Slice, SliceAssignment To) -> void {
  const SliceAssignment &Old = at(Slice);
  invariant(To.At >= Old.At, "the epoch of a slice never falls");
  invariant(To.Owner == Old.Owner || To.At > Old.At,
            "the epoch of a slice rises when its owner changes");
  if (To == Old)
    return;
  Entries[Slice] = std::move(To);
  ChangedAt[Slice] = ++Version;
}

auto SliceMap::beginTerm(std::uint64_t NewTerm) -> void {
  invariant(NewTerm > Term, "the term of a map rises");
  Term = NewTerm;
  Version = 1;
  std::fill(ChangedAt.begin(), ChangedAt.end(), 1);
}

auto SliceMap::delta(std::uint64_t SinceTerm, std::uint64_t Since) const
    -> SliceDelta {
  if (SinceTerm != Term || Since > Version)
    Since = 0;
  SliceDelta Delta{Service, slices(), Term, Since, Version, {}};
  for (std::uint32_t Slice = 0; Slice < slices(); ++Slice)
    if (Since == 0 || ChangedAt[Slice] > Since)
      Delta.Entries.push_back({Slice, Entries[Slice]});
  return Delta;
}

auto SliceMap::apply(const SliceDelta &Delta) -> Result<bool> {
  if (Delta.Service != Service || Delta.Slices != slices())
    return Error("delta of another service or slice count");
  if (Delta.Term < Term || (Delta.Term == Term && Delta.To <= Version))
    return false;
  if (Delta.From == 0 && Delta.Entries.size() != Entries.size())
    return Error("complete delta lacks slices");
  if (Delta.From != 0 && (Delta.Term != Term || Delta.From > Version))
    return Error("a version between was missed");
  for (const auto &Entry : Delta.Entries)
    if (Entry.Slice >= Entries.size())
      return Error("delta names slice " + std::to_string(Entry.Slice) +
                   " outside the map");
  for (const auto &Entry : Delta.Entries) {
    Entries[Entry.Slice] = Entry.To;
    ChangedAt[Entry.Slice] = Delta.To;
  }
  Term = Delta.Term;
  Version = Delta.To;
  return true;
}

auto SliceMap::segments() const -> std::uint32_t {
  return (slices() + SegmentSlices - 1) / SegmentSlices;
}

auto SliceMap::segmentChangedAt(std::uint32_t Segment) const -> std::uint64_t {
  const auto First =
      ChangedAt.begin() + static_cast<std::ptrdiff_t>(Segment) * SegmentSlices;
  const std::uint32_t Count =
      std::min(SegmentSlices, slices() - Segment * SegmentSlices);
  return *std::max_element(First, First + Count);
}

auto SliceMap::segmentText(std::uint32_t Segment,
                           std::uint64_t WriterTerm) const -> std::string {
  invariant(Segment < segments(), "segment is inside the map");
  NameTable Table;
  Json Rows = Json::array();
  const std::uint32_t First = Segment * SegmentSlices;
  const std::uint32_t End = std::min(First + SegmentSlices, slices());
  for (std::uint32_t Slice = First; Slice < End; ++Slice) {
    const SliceAssignment &Entry = Entries[Slice];
    Rows.push_back({Table.index(Entry.Owner), Table.index(Entry.Successor),
                    Entry.At.Term, Entry.At.Sequence});
  }
  return writeJson(Json{{"service", Service.str()},
                        {"slices", slices()},
                        {"segment", Segment},
                        {"term", WriterTerm},
                        {"targets", Table.names()},
                        {"entries", std::move(Rows)}});
}

auto SliceMap::loadSegment(std::string_view Text) -> Result<std::uint64_t> {
  try {
    const Json Value = Json::parse(Text);
    if (Value.at("service").get<std::string>() != Service.str() ||
        Value.at("slices").get<std::uint32_t>() != slices())
      return Error("assignment object of another service or slice count");
    const auto Segment = Value.at("segment").get<std::uint32_t>();
    if (Segment >= segments())
      return Error("assignment object of a segment outside the map");
    const auto Names = Value.at("targets").get<std::vector<std::string>>();
    const Json &Rows = Value.at("entries");
    const std::uint32_t First = Segment * SegmentSlices;
    if (Rows.size() != std::min(SegmentSlices, slices() - First))
      return Error("assignment object lacks entries");
    for (std::uint32_t Row = 0; Row < Rows.size(); ++Row) {
      SliceAssignment Read;
      Read.Owner = nameAt(Names, Rows[Row].at(0).get<std::int64_t>());
      Read.Successor = nameAt(Names, Rows[Row].at(1).get<std::int64_t>());
      Read.At = {Rows[Row].at(2).get<std::uint64_t>(),
                 Rows[Row].at(3).get<std::uint64_t>()};
      if (Read.At > Entries[First + Row].At)
        set(First + Row, std::move(Read));
    }
    return Value.at("term").get<std::uint64_t>();
  } catch (const std::exception &Failure) {
    return Error(std::string("malformed assignment object: ") + Failure.what());
  }
}

auto assignmentObjectName(const DataCentreId &DataCentre,
                          const ServiceId &Service, std::uint32_t Segment)
    -> std::string {
  return "assignments/" + DataCentre.str() + "/" + Service.str() + "/" +
         std::to_string(Segment);
}

} // namespace buckthornring
