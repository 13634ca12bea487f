#include "buckthornring/Ownership/HomeMap.h"

#include "Common/JsonText.h"
#include "buckthornring/Common/Invariant.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornring {

namespace {

constexpr std::uint32_t MaxSlices = 65'536;

auto hasTarget(const ServiceConfig &Service, const DataCentreId &DataCentre)
    -> bool {
  return std::any_of(Service.Targets.begin(), Service.Targets.end(),
                     [&](const auto &Entry) {
                       return Entry.second.DataCentre == DataCentre &&
                              Entry.second.State == ServingState::InService;
                     });
}

auto rendezvousScore(const DataCentreId &DataCentre, std::uint32_t Slice,
                     std::uint32_t Weight) -> double {
  const std::string &Name = DataCentre.str();
  const std::uint64_t Hash = XXH64(Name.data(), Name.size(), Slice);
  // Maps the hash into (0, 1), so that the logarithm is finite and negative.
  const double Unit = (static_cast<double>(Hash >> 11U) + 0.5) * 0x1.0p-53;
  return -static_cast<double>(Weight) / std::log(Unit);
}

auto parseNames(const nlohmann::json &Json, std::vector<DataCentreId> &Names)
    -> bool {
  for (const auto &Name : Json) {
    if (!Name.is_string())
      return false;
    Names.emplace_back(Name.get<std::string>());
  }
  return true;
}

auto parseHomes(const nlohmann::json &Json, std::size_t NameCount,
                std::vector<std::uint32_t> &Homes) -> bool {
  for (const auto &Index : Json) {
    if (!Index.is_number_unsigned() || Index.get<std::uint64_t>() >= NameCount)
      return false;
    Homes.push_back(Index.get<std::uint32_t>());
  }
  return true;
}

auto parseTerms(const nlohmann::json &Json,
                std::map<DataCentreId, std::uint64_t> &Terms) -> bool {
  if (!Json.is_object())
    return false;
  for (const auto &[Name, Term] : Json.items()) {
    if (!Term.is_number_unsigned())
      return false;
    Terms[DataCentreId(Name)] = Term.get<std::uint64_t>();
  }
  return true;
}

} // namespace

auto HomeMap::wanted(const Configuration &Config, const ServiceId &Service)
    -> HomeMap {
  HomeMap Map;
  const auto Found = Config.Services.find(Service);
  if (Found == Config.Services.end())
    return Map;
  Map.Names.emplace_back();
  Map.Homes.resize(Found->second.Slices, 0);
  std::vector<double> Best(Map.Homes.size(), 0);
  for (const auto &[DataCentre, Settings] : Config.DataCentres) {
    if (Settings.State != ServingState::InService || Settings.Weight == 0 ||
        !hasTarget(Found->second, DataCentre))
      continue;
    const std::uint32_t Index = Map.indexOf(DataCentre);
    for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice) {
      const double Score = rendezvousScore(DataCentre, Slice, Settings.Weight);
      if (Score <= Best[Slice])
        continue;
      Best[Slice] = Score;
      Map.Homes[Slice] = Index;
    }
  }
  return Map;
}

auto HomeMap::parse(std::string_view Text) -> Result<HomeMap> {
  const auto Json = nlohmann::json::parse(Text, nullptr,
                                          /*allow_exceptions=*/false);
  if (!Json.is_object() || !Json.contains("data_centres") ||
      !Json.contains("homes") || !Json["data_centres"].is_array() ||
      !Json["homes"].is_array() || Json["homes"].size() > MaxSlices)
    return Error("home map has no data_centres or homes");

  HomeMap Map;
  if (!parseNames(Json["data_centres"], Map.Names))
    return Error("home map has a data centre that is not a name");
  if (!parseHomes(Json["homes"], Map.Names.size(), Map.Homes))
    return Error("home map has an index without a data centre");
  if (!parseTerms(Json.value("terms", nlohmann::json::object()), Map.Terms))
    return Error("home map has a term that is not a number");
  return Map;
}

auto HomeMap::text() const -> std::string {
  nlohmann::json Json;
  Json["data_centres"] = nlohmann::json::array();
  for (const DataCentreId &Name : Names)
    Json["data_centres"].push_back(Name.str());
  Json["homes"] = Homes;
  Json["terms"] = nlohmann::json::object();
  for (const auto &[Name, Term] : Terms)
    Json["terms"][Name.str()] = Term;
  return writeJson(Json);
}

auto HomeMap::home(std::uint32_t Slice) const -> const DataCentreId & {
  invariant(Slice < Homes.size(), "slice is inside the home map");
  return Names[Homes[Slice]];
}

auto HomeMap::setHome(std::uint32_t Slice, const DataCentreId &DataCentre)
    -> void {
  invariant(Slice < Homes.size(), "slice is inside the home map");
  Homes[Slice] = indexOf(DataCentre);
}

auto HomeMap::writerTerm(const DataCentreId &DataCentre) const
    -> std::uint64_t {
  const auto Found = Terms.find(DataCentre);
  return Found == Terms.end() ? 0 : Found->second;
}

auto HomeMap::setWriterTerm(const DataCentreId &DataCentre, std::uint64_t Term)
    -> void {
  Terms[DataCentre] = Term;
}

auto HomeMap::indexOf(const DataCentreId &DataCentre) -> std::uint32_t {
  const auto Found = std::find(Names.begin(), Names.end(), DataCentre);
  const auto Index = static_cast<std::uint32_t>(Found - Names.begin());
  if (Found == Names.end())
    Names.push_back(DataCentre);
  return Index;
}

auto homeObjectName(const ServiceId &Service) -> std::string {
  return "homes/" + Service.str();
}

} // namespace buckthornring
