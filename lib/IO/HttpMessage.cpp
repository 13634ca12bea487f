#include "buckthornring/IO/HttpMessage.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace buckthornring {

namespace {

auto lower(char Letter) -> char {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

} // namespace

auto sameHeaderName(std::string_view Left, std::string_view Right) -> bool {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

auto HttpHeaders::find(std::string_view Name) const
    -> std::optional<std::string_view> {
  for (const auto &[Key, Value] : Fields)
    if (sameHeaderName(Key, Name))
      return Value;
  return std::nullopt;
}

auto HttpHeaders::contains(std::string_view Name) const -> bool {
  return find(Name).has_value();
}

auto HttpHeaders::add(std::string Name, std::string Value) -> void {
  Fields.emplace_back(std::move(Name), std::move(Value));
}

auto HttpHeaders::set(std::string Name, std::string Value) -> void {
  erase(Name);
  add(std::move(Name), std::move(Value));
}

auto HttpHeaders::erase(std::string_view Name) -> void {
  std::erase_if(Fields, [Name](const Field &Entry) {
    return sameHeaderName(Entry.first, Name);
  });
}

auto HttpRequest::path() const -> std::string_view {
  return std::string_view(Target).substr(0, Target.find('?'));
}

auto HttpRequest::query(std::string_view Name) const
    -> std::optional<std::string> {
  std::string_view Rest = Target;
  const auto Mark = Rest.find('?');
  if (Mark == std::string_view::npos)
    return std::nullopt;
  Rest.remove_prefix(Mark + 1);
  while (!Rest.empty()) {
    const auto Part = Rest.substr(0, Rest.find('&'));
    const auto Equals = std::min(Part.find('='), Part.size());
    if (decodePercent(Part.substr(0, Equals)) == Name)
      return decodePercent(Part.substr(std::min(Equals + 1, Part.size())));
    Rest.remove_prefix(std::min(Part.size() + 1, Rest.size()));
  }
  return std::nullopt;
}

auto decodePercent(std::string_view Text) -> std::string {
  std::string Out;
  Out.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Code = 0;
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      const char *First = Text.data() + Index + 1;
      const auto Parsed = std::from_chars(First, First + 2, Code, 16);
      if (Parsed.ptr == First + 2) {
        Out.push_back(static_cast<char>(Code));
        Index += 2;
        continue;
      }
    }
    Out.push_back(Text[Index]);
  }
  return Out;
}

auto encodePercent(std::string_view Text) -> std::string {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (const char Letter : Text) {
    const auto Code = static_cast<unsigned char>(Letter);
    if (std::isalnum(Code) != 0 ||
        std::string_view("-._~/").find(Letter) != std::string_view::npos) {
      Out.push_back(Letter);
      continue;
    }
    Out.push_back('%');
    Out.push_back(Digits[Code >> 4U]);
    Out.push_back(Digits[Code & 15U]);
  }
  return Out;
}

} // namespace buckthornring
