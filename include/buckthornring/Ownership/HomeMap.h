#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Config/Configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Home data centre of each slice of one service.
///
/// JSON of the platform object homes/SERVICE:
/// {"data_centres":[names],"homes":[index per slice],"terms":{name:term}}.
class HomeMap {
public:
  /// Computes the wanted homes: a weighted rendezvous hash over the data
  /// centres in service that have a target of the service in service. When
  /// there is none, all slices have an empty home.
  ///
  /// Source: D. Thaler, C. Ravishankar, "Using name-based mappings to increase
  /// hit rates", 1998, with logarithmic weights.
  static auto wanted(const Configuration &Config, const ServiceId &Service)
      -> HomeMap;

  /// Fails on text that is not such an object, naming the reason.
  static auto parse(std::string_view Text) -> Result<HomeMap>;

  auto text() const -> std::string;

  auto slices() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Homes.size());
  }
  auto home(std::uint32_t Slice) const -> const DataCentreId &;
  auto setHome(std::uint32_t Slice, const DataCentreId &DataCentre) -> void;

  /// Term of the last leader of the data centre that wrote this map.
  auto writerTerm(const DataCentreId &DataCentre) const -> std::uint64_t;
  auto setWriterTerm(const DataCentreId &DataCentre, std::uint64_t Term)
      -> void;

private:
  auto indexOf(const DataCentreId &DataCentre) -> std::uint32_t;

  std::vector<DataCentreId> Names;
  std::vector<std::uint32_t> Homes; ///< Indexes into Names.
  std::map<DataCentreId, std::uint64_t> Terms;
};

/// Returns "homes/SERVICE".
auto homeObjectName(const ServiceId &Service) -> std::string;

} // namespace buckthornring
