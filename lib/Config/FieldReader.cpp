#include "Config/FieldReader.h"

#include "Config/AddressText.h"
#include "Config/JsonText.h"

#include <nlohmann/json.hpp>

#include <sstream>
#include <utility>

namespace buckthornring {

namespace {

constexpr const char *IdentifierRule =
    "1 to 64 letters, digits, \".\", \"_\" and \"-\", starting with a letter "
    "or a digit";

auto isIdentifier(const std::string &Text) -> bool {
  const auto IsAlnum = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9');
  };
  if (Text.empty() || Text.size() > 64 || !IsAlnum(Text[0]))
    return false;
  for (const char C : Text)
    if (!IsAlnum(C) && C != '.' && C != '_' && C != '-')
      return false;
  return true;
}

template <class Number>
auto range(const char *Description, Number Min, Number Max) -> std::string {
  std::ostringstream Out;
  Out.precision(15);
  Out << Description << " from " << Min << " to " << Max;
  return Out.str();
}

} // namespace

FieldReader::FieldReader(const SettingsDocument &Document,
                         std::vector<SettingsError> &Errors)
    : Document(Document), Errors(Errors), Value(Document.value()) {}

FieldReader::FieldReader(const FieldReader &Parent, const nlohmann::json &Value,
                         std::string Path)
    : Document(Parent.Document), Errors(Parent.Errors), Value(Value),
      Path(std::move(Path)) {}

auto FieldReader::path(const std::string &Key) const -> std::string {
  return Path.empty() ? Key : Path + "/" + Key;
}

auto FieldReader::has(const std::string &Key) const -> bool {
  return Value.contains(Key);
}

auto FieldReader::report(const std::string &Key, std::string Allowed) -> void {
  const auto Found = Value.find(Key);
  report(Key, Found == Value.end() ? "nothing" : shortText(*Found),
         std::move(Allowed));
}

auto FieldReader::report(const std::string &Key, std::string Found,
                         std::string Allowed) -> void {
  auto Full = path(Key);
  auto Origin = Document.origin(Full);
  Errors.push_back({std::move(Origin), std::move(Full), std::move(Found),
                    std::move(Allowed)});
}

auto FieldReader::lookUp(const std::string &Key, Presence Needed)
    -> const nlohmann::json * {
  ReadKeys.insert(Key);
  const auto Found = Value.find(Key);
  if (Found != Value.end() &&
      !(Needed == Presence::Nullable && Found->is_null()))
    return &*Found;
  if (Needed == Presence::Required)
    report(Key, "nothing", "this key is required");
  return nullptr;
}

auto FieldReader::integer(const std::string &Key, std::uint32_t &Out,
                          std::uint32_t Min, std::uint32_t Max, Presence Needed)
    -> void {
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return;
  if (!Field->is_number_unsigned() || Field->get<std::uint64_t>() < Min ||
      Field->get<std::uint64_t>() > Max)
    return report(Key, range("a whole number", Min, Max));
  Out = Field->get<std::uint32_t>();
}

auto FieldReader::number(const std::string &Key, double &Out, double Min,
                         double Max, Presence Needed) -> void {
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return;
  if (!Field->is_number() || Field->get<double>() < Min ||
      Field->get<double>() > Max)
    return report(Key, range("a number", Min, Max));
  Out = Field->get<double>();
}

auto FieldReader::duration(const std::string &Key, Duration &Out, Duration Min,
                           Duration Max) -> void {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto MinMs = duration_cast<milliseconds>(Min).count();
  const auto MaxMs = duration_cast<milliseconds>(Max).count();
  const auto *Field = lookUp(Key, Presence::Optional);
  if (Field == nullptr)
    return;
  if (!Field->is_number_unsigned() ||
      Field->get<std::uint64_t>() < static_cast<std::uint64_t>(MinMs) ||
      Field->get<std::uint64_t>() > static_cast<std::uint64_t>(MaxMs))
    return report(Key, range("a whole number of milliseconds", MinMs, MaxMs));
  Out = milliseconds(Field->get<std::int64_t>());
}

auto FieldReader::boolean(const std::string &Key, bool &Out) -> void {
  std::optional<bool> Found;
  boolean(Key, Found);
  Out = Found.value_or(Out);
}

auto FieldReader::boolean(const std::string &Key, std::optional<bool> &Out)
    -> void {
  const auto *Field = lookUp(Key, Presence::Optional);
  if (Field == nullptr)
    return;
  if (!Field->is_boolean())
    return report(Key, "true or false");
  Out = Field->get<bool>();
}

auto FieldReader::text(const std::string &Key, std::string &Out,
                       Presence Needed) -> void {
  constexpr std::size_t Limit = 1000;
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return;
  if (!Field->is_string() || Field->get_ref<const std::string &>().empty() ||
      Field->get_ref<const std::string &>().size() > Limit)
    return report(Key, "a string of 1 to 1000 bytes");
  Out = Field->get<std::string>();
}

auto FieldReader::identifier(const std::string &Key, std::string &Out,
                             Presence Needed) -> void {
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return;
  if (!Field->is_string() ||
      !isIdentifier(Field->get_ref<const std::string &>()))
    return report(Key, IdentifierRule);
  Out = Field->get<std::string>();
}

auto FieldReader::address(const std::string &Key, std::string &Out,
                          std::uint32_t MinPort, Presence Needed) -> void {
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return;
  if (!Field->is_string() ||
      !isAddress(Field->get_ref<const std::string &>(), MinPort))
    return report(Key, "an IP address and a port from " +
                           std::to_string(MinPort) +
                           " to 65535, like \"127.0.0.1:8080\" or "
                           "\"[::1]:8080\"");
  Out = Field->get<std::string>();
}

auto FieldReader::choiceIndex(const std::string &Key,
                              const std::vector<std::string_view> &Names,
                              Presence Needed) -> std::optional<std::size_t> {
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return std::nullopt;
  std::string Allowed;
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    if (Field->is_string() &&
        Field->get_ref<const std::string &>() == Names[Index])
      return Index;
    Allowed += (Index == 0 ? "\"" : ", \"") + std::string(Names[Index]) + "\"";
  }
  report(Key, Allowed);
  return std::nullopt;
}

auto FieldReader::object(const std::string &Key,
                         const std::function<void(FieldReader &)> &Read,
                         Presence Needed) -> void {
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return;
  if (!Field->is_object())
    return report(Key, "an object");
  FieldReader Child(*this, *Field, path(Key));
  Read(Child);
  Child.finish();
}

auto FieldReader::entries(const std::string &Key, const EntryReader &Read,
                          Presence Needed) -> void {
  const auto *Field = lookUp(Key, Needed);
  if (Field == nullptr)
    return;
  if (!Field->is_object())
    return report(Key, "an object");
  FieldReader Parent(*this, *Field, path(Key));
  for (const auto &[Name, Entry] : Field->items()) {
    if (!isIdentifier(Name)) {
      Parent.report(Name, "the name " + printable(Name), IdentifierRule);
      continue;
    }
    if (!Entry.is_object()) {
      Parent.report(Name, "an object");
      continue;
    }
    FieldReader Child(Parent, Entry, Parent.path(Name));
    Read(Name, Child);
    Child.finish();
  }
}

auto FieldReader::finish() -> void {
  std::string Allowed;
  for (const auto &Key : ReadKeys)
    Allowed += (Allowed.empty() ? "" : ", ") + Key;
  for (const auto &[Key, Field] : Value.items())
    if (!ReadKeys.contains(Key))
      report(Key, "an unknown key", "one of " + Allowed);
}

} // namespace buckthornring
