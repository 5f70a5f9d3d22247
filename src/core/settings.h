// Reads the settings of the sender from JSON.
#pragma once

#include "json_fields.h"

namespace grademux {

// Throws BadInput with the name of the missing or malformed field.
Settings readSettings(const json& settings_json);

}  // namespace grademux
