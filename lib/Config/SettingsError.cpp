#include "buckthornring/Config/SettingsError.h"

namespace buckthornring {

auto SettingsError::text() const -> std::string {
  std::string Text = Origin.File;
  if (Origin.Line != 0)
    Text += ":" + std::to_string(Origin.Line);
  Text += ": ";
  if (!Key.empty())
    Text += Key + ": ";
  return Text + "found " + Found + ", allowed: " + Allowed;
}

auto settingsErrorText(const std::vector<SettingsError> &Errors)
    -> std::string {
  std::string Text;
  for (const auto &Each : Errors) {
    if (!Text.empty())
      Text += '\n';
    Text += Each.text();
  }
  return Text;
}

} // namespace buckthornring
