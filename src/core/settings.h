// Reads the settings of the sender from JSON.
#pragma once

#include "json_fields.h"

namespace grademux {

// Where settings come from. A file must have each field that its format does not call optional, and null is
// no value of any field. The simulator leaves out fields, or writes null, where the default is meant.
enum class SettingsSource : std::uint8_t { file, simulator };

// Throws BadInput with the name of the missing or malformed field.
Settings readSettings(const json& settings_json, SettingsSource source);

}  // namespace grademux
