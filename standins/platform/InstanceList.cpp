#include "InstanceList.h"

namespace buckthornring::standin {

auto InstanceList::set(const std::string &Id, nlohmann::json Entry, Time Now)
    -> void {
  if (Entry.is_object())
    Entry["id"] = Id;
  Entries[Id].emplace_back(Now, std::move(Entry));
}

auto InstanceList::list(Time Now, std::chrono::milliseconds Lag) const
    -> nlohmann::json {
  auto List = nlohmann::json::array();
  for (const auto &[Id, Changes] : Entries) {
    const nlohmann::json *Visible = nullptr;
    for (const auto &[ChangedAt, Entry] : Changes)
      if (ChangedAt + Lag <= Now)
        Visible = &Entry;
    if (Visible != nullptr && Visible->is_object())
      List.push_back(*Visible);
  }
  return {{"instances", List}};
}

} // namespace buckthornring::standin
