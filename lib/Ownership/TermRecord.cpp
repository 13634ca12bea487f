#include "buckthornring/Ownership/TermRecord.h"

#include "Common/JsonText.h"

#include <nlohmann/json.hpp>

namespace buckthornring {

auto termRecordText(const TermRecord &Record) -> std::string {
  nlohmann::json Unsettled = nlohmann::json::array();
  for (const InstanceId &Each : Record.Unsettled)
    Unsettled.push_back(Each.str());
  return writeJson(nlohmann::json{{"term", Record.Term},
                                  {"leader", Record.Leader.str()},
                                  {"deputy", Record.Deputy.str()},
                                  {"unsettled", std::move(Unsettled)}});
}

auto parseTermRecord(std::string_view Text) -> Result<TermRecord> {
  try {
    const auto Value = nlohmann::json::parse(Text);
    TermRecord Record{Value.at("term").get<std::uint64_t>(),
                      InstanceId(Value.at("leader").get<std::string>()),
                      InstanceId(Value.at("deputy").get<std::string>()),
                      {}};
    for (const auto &Each : Value.at("unsettled"))
      Record.Unsettled.emplace_back(Each.get<std::string>());
    return Record;
  } catch (const std::exception &Failure) {
    return Error(std::string("malformed term object: ") + Failure.what());
  }
}

auto termObjectName(const DataCentreId &DataCentre) -> std::string {
  return "terms/" + DataCentre.str();
}

} // namespace buckthornring
