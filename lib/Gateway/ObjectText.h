#pragma once

#include "Gateway/ObjectSchema.h"
#include "Gateway/Protocol.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Lists of objects that instances send one another, as JSON texts. Each object
/// is an array.
enum class ObjectListForm {
  State,   ///< Name, revision, value; a status if there is one.
  Changes, ///< The same, with whether it was deleted before the value.
};

/// Writes such a list one object at a time.
class ObjectListWriter {
public:
  explicit ObjectListWriter(ObjectListForm Form) : Form(Form) {}

  auto add(const StoredObject &Object) -> void;
  auto text() && -> std::string { return std::move(Text.append("]")); }

private:
  ObjectListForm Form;
  std::string Text = "[";
};

/// Reads such a list of objects of one kind. Of each object only what \p Schema
/// names is kept; a value that cannot be read is null. Returns nullopt if \p
/// Text is no list.
auto readObjectList(std::string_view Text, ObjectListForm Form,
                    std::string_view Kind, const ObjectSchema &Schema)
    -> std::optional<std::vector<StoredObject>>;

} // namespace buckthornring
