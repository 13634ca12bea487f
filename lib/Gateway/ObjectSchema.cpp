#include "Gateway/ObjectSchema.h"

#include "Common/JsonText.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

using Json = nlohmann::json;

auto ObjectSchema::add(const std::string &Kind, Entry Added) -> void {
  Kinds[Kind].push_back(std::move(Added));
}

auto ObjectSchema::find(const std::vector<Entry> &Entries,
                        std::string_view Name) const -> const Entry * {
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(), [Name](const Entry &Each) {
        return Each.IsPrefix ? Name.starts_with(Each.Name) : Name == Each.Name;
      });
  return Found == Entries.end() ? nullptr : &*Found;
}

auto ObjectSchema::readValue(std::string_view Kind, std::string_view Name,
                             std::string_view Text) const -> Result<Json> {
  const auto Known = Kinds.find(Kind);
  if (Known == Kinds.end())
    return parseJson(Text);
  const Entry *Used = find(Known->second, Name);
  if (!Used)
    return Json();
  auto Value = parseJsonParts(Text, Used->Value);
  if (Value && Used->Accepts && !Used->Accepts(*Value))
    return Error("not of the form that the router writes");
  return Value;
}

auto ObjectSchema::readStatus(std::string_view Kind, std::string_view Name,
                              std::string_view Text) const -> Json {
  const auto Known = Kinds.find(Kind);
  const Entry *Used =
      Known == Kinds.end() ? nullptr : find(Known->second, Name);
  if (Known != Kinds.end() && (!Used || Used->Status.Depth == 0))
    return Json();
  auto Status = Used ? parseJsonParts(Text, Used->Status) : parseJson(Text);
  return Status ? std::move(Status).value() : Json();
}

} // namespace buckthornring
