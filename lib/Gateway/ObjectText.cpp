#include "Gateway/ObjectText.h"

#include "Common/JsonText.h"

#include <cstdint>
#include <utility>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Reads one object. Fails if its name, its revision or the mark of a deleted
/// one cannot be read.
auto readListedObject(std::string_view Text, ObjectListForm Form,
                      std::string_view Kind, const ObjectSchema &Schema)
    -> std::optional<StoredObject> {
  const auto Parts = splitArray(Text);
  const std::size_t ValueIndex = Form == ObjectListForm::Changes ? 3 : 2;
  if (!Parts || Parts->size() <= ValueIndex)
    return std::nullopt;
  const auto Name = parseJson((*Parts)[0]);
  const auto Revision = parseJson((*Parts)[1]);
  const std::string_view Deleted =
      Form == ObjectListForm::Changes ? (*Parts)[2] : "false";
  if (!Name || !Name->is_string() || !Revision ||
      !Revision->is_number_unsigned() ||
      (Deleted != "true" && Deleted != "false"))
    return std::nullopt;
  StoredObject Object;
  Object.Name = Name->get<std::string>();
  Object.Revision = Revision->get<std::uint64_t>();
  Object.Deleted = Deleted == "true";
  if (auto Value = Schema.readValue(Kind, Object.Name, (*Parts)[ValueIndex]))
    Object.Value = std::move(Value).value();
  if (Parts->size() > ValueIndex + 1)
    Object.Status =
        Schema.readStatus(Kind, Object.Name, (*Parts)[ValueIndex + 1]);
  return Object;
}

} // namespace

auto ObjectListWriter::add(const StoredObject &Object) -> void {
  Text.append(Text.size() > 1 ? ",[" : "[")
      .append(writeJson(Object.Name))
      .append(",")
      .append(std::to_string(Object.Revision));
  if (Form == ObjectListForm::Changes)
    Text.append(Object.Deleted ? ",true" : ",false");
  Text.append(",").append(writeJson(Object.Value));
  if (!Object.Status.is_null())
    Text.append(",").append(writeJson(Object.Status));
  Text.append("]");
}

auto readObjectList(std::string_view Text, ObjectListForm Form,
                    std::string_view Kind, const ObjectSchema &Schema)
    -> std::optional<std::vector<StoredObject>> {
  const auto Entries = splitArray(Text);
  if (!Entries)
    return std::nullopt;
  std::vector<StoredObject> Objects;
  Objects.reserve(Entries->size());
  for (const std::string_view Entry : *Entries) {
    auto Object = readListedObject(Entry, Form, Kind, Schema);
    if (!Object)
      return std::nullopt;
    Objects.push_back(std::move(*Object));
  }
  return Objects;
}

} // namespace buckthornring
