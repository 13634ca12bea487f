#include "Common/JsonText.h"

#include <algorithm>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

constexpr std::string_view Whitespace = " \t\r\n";

auto trim(std::string_view Text) -> std::string_view {
  const auto First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

/// Follows the structure of a JSON text byte by byte.
class StructureScanner {
public:
  /// Returns whether \p Byte is a part of the structure, not of a string.
  auto next(char Byte) -> bool {
    if (InString) {
      if (Escaped)
        Escaped = false;
      else if (Byte == '\\')
        Escaped = true;
      else if (Byte == '"')
        InString = false;
      return false;
    }
    if (Byte == '"')
      InString = true;
    else if (Byte == '[' || Byte == '{')
      ++Depth;
    else if ((Byte == ']' || Byte == '}') && Depth > 0)
      --Depth;
    return !InString;
  }
  auto depth() const -> std::size_t { return Depth; }

private:
  std::size_t Depth = 0;
  bool InString = false;
  bool Escaped = false;
};

auto tooDeep(std::string_view Text) -> bool {
  StructureScanner Scanner;
  return std::any_of(Text.begin(), Text.end(), [&Scanner](char Byte) {
    return Scanner.next(Byte) && Scanner.depth() > MaxJsonDepth;
  });
}

/// Returns the parts between the separators of \p Text, which begins with \p
/// Open and ends with \p Close.
auto splitContainer(std::string_view Text, char Open, char Close)
    -> std::optional<std::vector<std::string_view>> {
  Text = trim(Text);
  if (Text.size() < 2 || Text.front() != Open || Text.back() != Close)
    return std::nullopt;
  std::vector<std::string_view> Parts;
  StructureScanner Scanner;
  std::size_t PartBegin = 1;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (!Scanner.next(Text[Index]))
      continue;
    const bool Ended = Scanner.depth() == 0;
    if (Ended && Index + 1 != Text.size())
      return std::nullopt;
    if (Ended || (Scanner.depth() == 1 && Text[Index] == ',')) {
      Parts.push_back(trim(Text.substr(PartBegin, Index - PartBegin)));
      PartBegin = Index + 1;
    }
  }
  if (Scanner.depth() != 0)
    return std::nullopt;
  if (Parts.size() == 1 && Parts.front().empty())
    Parts.clear();
  return Parts;
}

} // namespace

auto parseJson(std::string_view Text) -> Result<Json> {
  if (tooDeep(Text))
    return Error("nested too deeply");
  try {
    return Json::parse(Text);
  } catch (const Json::exception &Failure) {
    return Error(Failure.what());
  }
}

auto splitObject(std::string_view Text)
    -> std::optional<std::vector<JsonMember>> {
  const auto Parts = splitContainer(Text, '{', '}');
  if (!Parts)
    return std::nullopt;
  std::vector<JsonMember> Members;
  for (const std::string_view Part : *Parts) {
    StructureScanner Scanner;
    const auto Colon =
        std::find_if(Part.begin(), Part.end(), [&Scanner](char Byte) {
          return Scanner.next(Byte) && Byte == ':';
        });
    const auto NameSize = static_cast<std::size_t>(Colon - Part.begin());
    const std::string_view Name = trim(Part.substr(0, NameSize));
    if (Colon == Part.end() || Name.size() < 2 || Name.front() != '"' ||
        Name.back() != '"')
      return std::nullopt;
    Members.push_back(
        {Name.substr(1, Name.size() - 2), trim(Part.substr(NameSize + 1))});
  }
  return Members;
}

auto splitArray(std::string_view Text)
    -> std::optional<std::vector<std::string_view>> {
  return splitContainer(Text, '[', ']');
}

} // namespace buckthornring
