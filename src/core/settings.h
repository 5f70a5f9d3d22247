// grademux: the settings that both the adapter and the sender are given, from JSON to Settings.
#pragma once

#include "json_fields.h"

namespace grademux {

Settings readSettings(const json& o);  // throws BadInput naming the field

}  // namespace grademux
