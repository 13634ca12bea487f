#include "buckthornring/Config/ConfigEdit.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <utility>

namespace buckthornring {

namespace {

using nlohmann::json;

/// Path of a data centre "DC" or a target "SERVICE/TARGET" in the content.
auto entryPath(const std::string &Name) -> std::vector<std::string> {
  const auto Slash = Name.find('/');
  if (Slash == std::string::npos)
    return {"data_centres", Name};
  return {"services", Name.substr(0, Slash), "targets", Name.substr(Slash + 1)};
}

auto find(json &Root, const std::vector<std::string> &Path) -> json * {
  json *Node = &Root;
  for (const auto &Each : Path) {
    const auto Found = Node->find(Each);
    if (!Node->is_object() || Found == Node->end())
      return nullptr;
    Node = &*Found;
  }
  return Node->is_object() ? Node : nullptr;
}

auto section(const json &Root, const char *Name) -> const json & {
  static const json Empty = json::object();
  const auto Found = Root.find(Name);
  return Found == Root.end() || !Found->is_object() ? Empty : *Found;
}

auto memberNames(const json &Section) -> std::string {
  std::string Out;
  for (const auto &Each : Section.items()) {
    Out.append(Out.empty() ? "" : ", ");
    Out.append(Each.key());
  }
  return Out.empty() ? "none" : Out;
}

auto unknownName(const char *Kind, const std::string &Name, const json &Section)
    -> Error {
  return Error(std::string("there is no ") + Kind + " " + Name +
               "; defined: " + memberNames(Section));
}

auto withValue(const SettingsDocument &Content, json Value)
    -> SettingsDocument {
  return {std::move(Value), Content.origins()};
}

auto unknownEntry(const SettingsDocument &Content, const std::string &Name)
    -> Error {
  const auto Slash = Name.find('/');
  const auto &Root = Content.value();
  if (Slash == std::string::npos)
    return unknownName("data centre", Name, section(Root, "data_centres"));
  const auto &Services = section(Root, "services");
  const auto Service = Name.substr(0, Slash);
  if (!Services.contains(Service))
    return unknownName("service", Service, Services);
  return unknownName("target", Name, section(Services[Service], "targets"));
}

auto isTakenOut(const json &Entry) -> bool {
  return Entry.is_object() && Entry.value("state", json()) == "taken-out";
}

auto isWithdrawn(const json &Entry) -> bool {
  return Entry.is_object() && Entry.value("withdrawn", json()) == true;
}

auto withdrawnDigests(const json &Root) -> std::set<json> {
  std::set<json> Out;
  for (const auto &Each : section(Root, "caller_keys"))
    if (isWithdrawn(Each))
      Out.insert(Each.value("digest", json()));
  return Out;
}

/// Reports the entries that \p Next returns to service.
auto reportReinstated(const json &Before, const json &After,
                      const std::string &Path, const SettingsDocument &Next,
                      std::vector<SettingsError> &Errors) -> void {
  for (const auto &[Name, Entry] : After.items()) {
    const auto Old = Before.find(Name);
    if (Old == Before.end() || !isTakenOut(*Old) || isTakenOut(Entry))
      continue;
    std::string Key = Path;
    Key.append("/").append(Name).append("/state");
    Errors.push_back({Next.origin(Key), Key, "in-service",
                      "\"taken-out\", as in the accepted configuration"});
  }
}

} // namespace

auto ConfigEdit::withdrawKey(const SettingsDocument &Content,
                             const std::string &Name)
    -> Result<SettingsDocument> {
  auto Value = Content.value();
  auto *Entry = find(Value, {"caller_keys", Name});
  if (Entry == nullptr)
    return unknownName("caller key", Name, section(Value, "caller_keys"));
  (*Entry)["withdrawn"] = true;
  return withValue(Content, std::move(Value));
}

auto ConfigEdit::takeOut(const SettingsDocument &Content,
                         const std::string &Name, bool ConfirmLost)
    -> Result<SettingsDocument> {
  auto Value = Content.value();
  auto *Entry = find(Value, entryPath(Name));
  if (Entry == nullptr)
    return unknownEntry(Content, Name);
  (*Entry)["state"] = "taken-out";
  if (ConfirmLost)
    (*Entry)["confirmed_lost"] = true;
  return withValue(Content, std::move(Value));
}

auto ConfigEdit::bringBack(const SettingsDocument &Content,
                           const std::string &Name)
    -> Result<SettingsDocument> {
  auto Value = Content.value();
  auto *Entry = find(Value, entryPath(Name));
  if (Entry == nullptr)
    return unknownEntry(Content, Name);
  // In service is the default, so the entry returns to its usual form.
  if (isTakenOut(*Entry))
    Entry->erase("state");
  Entry->erase("confirmed_lost");
  return withValue(Content, std::move(Value));
}

auto ConfigEdit::reversals(const SettingsDocument &Current,
                           const SettingsDocument &Next)
    -> std::vector<SettingsError> {
  std::vector<SettingsError> Errors;
  const auto Withdrawn = withdrawnDigests(Current.value());
  for (const auto &[Name, Entry] :
       section(Next.value(), "caller_keys").items()) {
    if (isWithdrawn(Entry) ||
        !Withdrawn.contains(Entry.value("digest", json())))
      continue;
    const auto Key = "caller_keys/" + Name + "/withdrawn";
    Errors.push_back({Next.origin(Key), Key, "a granted key",
                      "true, as in the accepted configuration"});
  }
  reportReinstated(section(Current.value(), "data_centres"),
                   section(Next.value(), "data_centres"), "data_centres", Next,
                   Errors);
  const auto &Before = section(Current.value(), "services");
  for (const auto &[Name, Entry] : section(Next.value(), "services").items())
    if (const auto Old = Before.find(Name); Old != Before.end())
      reportReinstated(section(*Old, "targets"), section(Entry, "targets"),
                       "services/" + Name + "/targets", Next, Errors);
  return Errors;
}

} // namespace buckthornring
