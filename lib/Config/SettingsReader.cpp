#include "buckthornring/Config/SettingsReader.h"

#include "Config/JsonText.h"

#include <nlohmann/json.hpp>

#include <iterator>
#include <utility>
#include <vector>

namespace buckthornring {

namespace {

/// Counts the line breaks that the parser has consumed.
struct LineCounter {
  std::uint32_t Breaks = 0;
  bool AfterBreak = false;

  /// The parser reads one character past a number, so a line break that was
  /// read last does not count yet.
  auto line() const -> std::uint32_t {
    return Breaks + 1 - (AfterBreak ? 1 : 0);
  }
};

/// Input iterator that reports each character it passes to a LineCounter.
class CountingIterator {
public:
  using iterator_category = std::input_iterator_tag; // NOLINT
  using value_type = char;                           // NOLINT
  using difference_type = std::ptrdiff_t;            // NOLINT
  using pointer = const char *;                      // NOLINT
  using reference = const char &;                    // NOLINT

  CountingIterator(const char *Position, LineCounter *Counter)
      : Position(Position), Counter(Counter) {}

  auto operator*() const -> const char & { return *Position; }
  auto operator++() -> CountingIterator & {
    Counter->AfterBreak = *Position == '\n';
    if (Counter->AfterBreak)
      ++Counter->Breaks;
    ++Position;
    return *this;
  }
  auto operator++(int) -> CountingIterator {
    auto Before = *this;
    ++*this;
    return Before;
  }
  auto operator==(const CountingIterator &Other) const -> bool {
    return Position == Other.Position;
  }

private:
  const char *Position;
  LineCounter *Counter;
};

auto expectedPart(const std::string &Message) -> std::string {
  const std::string Marker = "expected ";
  const auto Found = Message.rfind(Marker);
  if (Found == std::string::npos)
    return "JSON with comments";
  const auto Expected = Message.substr(Found + Marker.size());
  // The parser's message omits that a comma may follow a complete value.
  return Expected == "'}'" || Expected == "']'" ? "',' or " + Expected
                                                : Expected;
}

/// Describes the token that the parser rejected. The parser's token text starts
/// at the end of the previous token and shows a line break as "<U+000A>", so
/// only the part after the last line break is used.
auto foundPart(const std::string &Message, const std::string &LastToken)
    -> std::string {
  if (Message.find("unexpected end of input") != std::string::npos)
    return "the end of the file";
  const std::string Break = "<U+000A>";
  const auto Last = LastToken.rfind(Break);
  auto Text = Last == std::string::npos ? LastToken
                                        : LastToken.substr(Last + Break.size());
  Text.erase(0, Text.find_first_not_of(' '));
  while (Text.ends_with(' '))
    Text.pop_back();
  return Text.empty() ? "a line break" : printable(Text);
}

/// Builds the value from parser events and records the line of each key.
class DocumentBuilder : public nlohmann::json_sax<nlohmann::json> {
public:
  DocumentBuilder(const LineCounter &Counter, const std::string &File)
      : Counter(Counter), File(File) {}

  auto null() -> bool override { return add(nullptr); }
  auto boolean(bool Value) -> bool override { return add(Value); }
  auto number_integer(number_integer_t Value) -> bool override {
    return add(Value);
  }
  auto number_unsigned(number_unsigned_t Value) -> bool override {
    return add(Value);
  }
  auto number_float(number_float_t Value, const string_t &) -> bool override {
    return add(Value);
  }
  auto string(string_t &Value) -> bool override {
    return add(std::move(Value));
  }
  auto binary(binary_t &) -> bool override { return false; }
  auto start_object(std::size_t) -> bool override {
    return open(nlohmann::json::object());
  }
  auto end_object() -> bool override { return close(); }
  auto start_array(std::size_t) -> bool override {
    return open(nlohmann::json::array());
  }
  auto end_array() -> bool override { return close(); }

  auto key(string_t &Name) -> bool override {
    auto &Level = Levels.back();
    Level.Key = Name;
    Level.Duplicate = Level.Value.contains(Name);
    const auto Path = childPath(Level);
    if (Level.Duplicate)
      report(Path,
             "a duplicate key (first in line " +
                 std::to_string(Origins[Path].Line) + ")",
             "each key once");
    else
      Origins[Path] = currentOrigin();
    return true;
  }

  auto parse_error(std::size_t, const std::string &LastToken,
                   const nlohmann::detail::exception &Reason) -> bool override {
    report(Levels.empty() ? "" : Levels.back().Path,
           foundPart(Reason.what(), LastToken), expectedPart(Reason.what()));
    return false;
  }

  auto finish() -> Checked<SettingsDocument> {
    if (!Errors.empty())
      return {std::nullopt, std::move(Errors)};
    Origins.try_emplace("", SettingsOrigin{File, 1});
    return {SettingsDocument(std::move(Root), std::move(Origins)), {}};
  }

private:
  struct Level {
    nlohmann::json Value;
    std::string Path;
    std::string Key;
    bool Duplicate = false;
  };

  auto currentOrigin() const -> SettingsOrigin {
    return {File, Counter.line()};
  }

  auto report(std::string Path, std::string Found, std::string Allowed)
      -> void {
    Errors.push_back({currentOrigin(), std::move(Path), std::move(Found),
                      std::move(Allowed)});
  }

  static auto childPath(const Level &Parent) -> std::string {
    const auto Name = Parent.Value.is_array()
                          ? std::to_string(Parent.Value.size())
                          : Parent.Key;
    return Parent.Path.empty() ? Name : Parent.Path + "/" + Name;
  }

  auto open(nlohmann::json Empty) -> bool {
    if (Levels.empty() && !Empty.is_object()) {
      report("", "an array", "an object");
      return false;
    }
    auto Path = Levels.empty() ? "" : childPath(Levels.back());
    if (Levels.size() == SettingsReader::MaxDepth) {
      report(std::move(Path), "more levels",
             "at most " + std::to_string(SettingsReader::MaxDepth) +
                 " levels of nesting");
      return false;
    }
    Origins.try_emplace(Path, currentOrigin());
    Levels.push_back({std::move(Empty), std::move(Path), {}, false});
    return true;
  }

  auto close() -> bool {
    auto Value = std::move(Levels.back().Value);
    Levels.pop_back();
    if (Levels.empty()) {
      Root = std::move(Value);
      return true;
    }
    return add(std::move(Value));
  }

  auto add(nlohmann::json Value) -> bool {
    if (Levels.empty()) {
      report("", shortText(Value), "an object");
      return false;
    }
    auto &Parent = Levels.back();
    if (Parent.Value.is_array()) {
      Origins.try_emplace(childPath(Parent), currentOrigin());
      Parent.Value.push_back(std::move(Value));
    } else if (!Parent.Duplicate) {
      Parent.Value[Parent.Key] = std::move(Value);
    }
    return true;
  }

  const LineCounter &Counter;
  const std::string &File;
  std::vector<Level> Levels;
  nlohmann::json Root;
  SettingsDocument::OriginMap Origins;
  std::vector<SettingsError> Errors;
};

} // namespace

auto SettingsReader::read(std::string_view Text, const std::string &File)
    -> Checked<SettingsDocument> {
  LineCounter Counter;
  DocumentBuilder Builder(Counter, File);
  nlohmann::json::sax_parse(
      CountingIterator(Text.data(), &Counter),
      CountingIterator(Text.data() + Text.size(), &Counter), &Builder,
      nlohmann::json::input_format_t::json, /*strict=*/true,
      /*ignore_comments=*/true);
  return Builder.finish();
}

} // namespace buckthornring
