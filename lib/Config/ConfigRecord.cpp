#include "buckthornring/Config/ConfigRecord.h"

#include "Common/JsonText.h"
#include "buckthornring/Config/CallerKeys.h"
#include "buckthornring/Config/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace buckthornring {

namespace {

using nlohmann::json;

auto field(const json &Value, const char *Key) -> const json & {
  static const json Null;
  const auto Found = Value.find(Key);
  return Found == Value.end() ? Null : *Found;
}

auto parseHistory(const json &Value)
    -> std::optional<std::vector<ConfigRecord::Update>> {
  if (!Value.is_array())
    return std::nullopt;
  std::vector<ConfigRecord::Update> Out;
  for (const auto &Each : Value) {
    if (!Each.is_array() || Each.size() != 2 || !Each[0].is_number_unsigned() ||
        !Each[1].is_string())
      return std::nullopt;
    Out.push_back({Each[0].get<std::uint64_t>(), Each[1].get<std::string>()});
  }
  return Out;
}

} // namespace

auto ConfigRecord::digestOf(const SettingsDocument &Content) -> std::string {
  return CallerKeys::hex(CallerKeys::digest(Content.canonicalText()));
}

auto ConfigRecord::next(const ConfigRecord *Previous, SettingsDocument Content,
                        std::string UpdateId, std::uint64_t MinGeneration)
    -> Result<ConfigRecord> {
  ConfigRecord Out(std::move(Content));
  const auto Following = Previous == nullptr ? 1 : Previous->Generation + 1;
  Out.Generation = std::max(Following, MinGeneration);
  Out.Digest = digestOf(Out.Content);
  if (Previous != nullptr)
    Out.History = Previous->History;
  Out.History.push_back({Out.Generation, std::move(UpdateId)});
  if (Out.History.size() > HistoryLimit)
    Out.History.erase(Out.History.begin());
  const auto Bytes = Out.text().size();
  if (Bytes > MaxBytes)
    return Error("the configuration takes " + std::to_string(Bytes) +
                 " bytes, the platform stores at most " +
                 std::to_string(MaxBytes));
  return Out;
}

auto ConfigRecord::parse(std::string_view Text) -> Result<ConfigRecord> {
  const std::string Name(ObjectName);
  auto Read = SettingsReader::read(Text, Name);
  if (!Read)
    return Error(settingsErrorText(Read.Errors));
  const auto &Value = Read.Value->value();
  const auto &Generation = field(Value, "generation");
  const auto &Digest = field(Value, "digest");
  const auto &Content = field(Value, "content");
  auto History = parseHistory(field(Value, "history"));
  if (!Generation.is_number_unsigned() || !Digest.is_string() ||
      !Content.is_object() || !History)
    return Error(Name + ": generation, digest, history or content is missing "
                        "or malformed");
  ConfigRecord Out(SettingsDocument(Content, {{"", {Name, 0}}}));
  Out.Generation = Generation.get<std::uint64_t>();
  Out.Digest = Digest.get<std::string>();
  Out.History = std::move(*History);
  if (Out.Generation == 0 || Out.History.empty() ||
      Out.History.back().Generation != Out.Generation)
    return Error(Name + ": the history does not end with the generation");
  if (Out.Digest != digestOf(Out.Content))
    return Error(Name + ": the digest does not match the content");
  return Out;
}

auto ConfigRecord::text() const -> std::string {
  json Updates = json::array();
  for (const auto &Each : History)
    Updates.push_back(json::array({Each.Generation, Each.Id}));
  return writeJson(json{{"generation", Generation},
                        {"digest", Digest},
                        {"history", std::move(Updates)},
                        {"content", Content.value()}});
}

auto ConfigRecord::baseGeneration() const -> std::uint64_t {
  return History.size() < 2 ? 0 : History[History.size() - 2].Generation;
}

auto ConfigRecord::hasUpdate(std::string_view UpdateId) const -> bool {
  return std::any_of(History.begin(), History.end(),
                     [&](const Update &Each) { return Each.Id == UpdateId; });
}

auto ConfigRecord::reachesBackTo(std::uint64_t Wanted) const -> bool {
  // A history below its limit is complete: nothing was dropped from it.
  return History.size() < HistoryLimit || History.front().Generation <= Wanted;
}

} // namespace buckthornring
