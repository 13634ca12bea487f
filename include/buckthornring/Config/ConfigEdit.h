#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <string>
#include <vector>

namespace buckthornring {

/// Changes that operators make directly to the accepted configuration.
///
/// Each returns the changed content, which equals \p Content when the change is
/// already in force, and fails when the named entry does not exist.
class ConfigEdit {
public:
  static auto withdrawKey(const SettingsDocument &Content,
                          const std::string &Name) -> Result<SettingsDocument>;

  /// Takes a data centre ("DC") or a target ("SERVICE/TARGET") out of service.
  /// \p ConfirmLost also records that nothing runs there any longer.
  static auto takeOut(const SettingsDocument &Content, const std::string &Name,
                      bool ConfirmLost) -> Result<SettingsDocument>;

  /// Returns a data centre or a target to service.
  static auto bringBack(const SettingsDocument &Content,
                        const std::string &Name) -> Result<SettingsDocument>;

  /// Returns an error for each caller key that \p Next grants again, and for
  /// each data centre and target that it returns to service, compared with
  /// \p Current. A caller key is recognised by its digest.
  static auto reversals(const SettingsDocument &Current,
                        const SettingsDocument &Next)
      -> std::vector<SettingsError>;
};

} // namespace buckthornring
