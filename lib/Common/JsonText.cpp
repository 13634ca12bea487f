#include "Common/JsonText.h"

#include <algorithm>
#include <cstdint>

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

/// Reads the head of a CBOR item: its major type, and its argument (a length, a
/// count or a value).
struct CborHead {
  unsigned Type = 0;
  std::uint64_t Argument = 0;
};

auto takeCborHead(std::string_view &Bytes) -> std::optional<CborHead> {
  if (Bytes.empty())
    return std::nullopt;
  const unsigned First = static_cast<unsigned char>(Bytes.front());
  Bytes.remove_prefix(1);
  CborHead Head{First >> 5U, First & 31U};
  if (Head.Argument < 24)
    return Head;
  // From 28: reserved, or a length that is not known in advance.
  if (Head.Argument >= 28)
    return std::nullopt;
  const std::size_t Width = std::size_t{1} << (Head.Argument - 24);
  if (Bytes.size() < Width)
    return std::nullopt;
  Head.Argument = 0;
  for (const char Byte : Bytes.substr(0, Width))
    Head.Argument = Head.Argument << 8U | static_cast<unsigned char>(Byte);
  Bytes.remove_prefix(Width);
  return Head;
}

/// Whether \p Bytes is one complete item without parts of unknown length, which
/// may be nested too, and not nested deeper than MaxJsonDepth.
auto isBoundedCbor(std::string_view Bytes) -> bool {
  enum : unsigned { Binary = 2, Text = 3, Array = 4, Map = 5, Tag = 6 };
  std::vector<std::uint64_t> Missing = {1}; // Items of each open container.
  while (!Missing.empty()) {
    if (Missing.back() == 0) {
      Missing.pop_back();
      continue;
    }
    --Missing.back();
    const auto Head = takeCborHead(Bytes);
    if (!Head || Head->Type == Tag)
      return false;
    const bool Sized = Head->Type >= Binary && Head->Type <= Map;
    // Each byte, element and key takes at least one byte.
    if (Sized && Head->Argument > Bytes.size())
      return false;
    if (Head->Type == Text && !isUtf8(Bytes.substr(0, Head->Argument)))
      return false;
    if (Head->Type == Binary || Head->Type == Text)
      Bytes.remove_prefix(Head->Argument);
    if (Head->Type == Array || Head->Type == Map)
      Missing.push_back(Head->Type == Map ? 2 * Head->Argument
                                          : Head->Argument);
    if (Missing.size() > MaxJsonDepth + 1)
      return false;
  }
  return Bytes.empty();
}

} // namespace

auto parseJson(std::string_view Text) -> Result<Json> {
  if (tooDeep(Text))
    return Error("nested too deeply");
  try {
    return Json::parse(Text);
  } catch (const Json::exception &Failure) {
    return jsonError(Failure);
  }
}

auto parseCbor(std::string_view Bytes) -> Result<Json> {
  if (!isBoundedCbor(Bytes))
    return Error("malformed or nested too deeply");
  try {
    return Json::from_cbor(Bytes.begin(), Bytes.end());
  } catch (const Json::exception &Failure) {
    return jsonError(Failure);
  }
}

auto jsonError(const Json::exception &Failure) -> Error {
  constexpr std::size_t MaxMessageBytes = 200;
  return Error(std::string(Failure.what()).substr(0, MaxMessageBytes));
}

auto writeJson(const Json &Value) -> std::string {
  return Value.dump(-1, ' ', /*ensure_ascii=*/false,
                    Json::error_handler_t::replace);
}

auto isUtf8(std::string_view Bytes) -> bool {
  if (std::all_of(Bytes.begin(), Bytes.end(), [](char Byte) {
        return static_cast<unsigned char>(Byte) < 0x80;
      }))
    return true;
  try {
    static_cast<void>(Json(Bytes).dump());
    return true;
  } catch (const Json::type_error &) {
    return false;
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
