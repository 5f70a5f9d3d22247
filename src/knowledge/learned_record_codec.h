// Encodes and decodes the records of the learned state. The stored field names are used in this module and
// in the file header only.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "../core/learned_state.h"

namespace grademux::knowledge {

// Returns the value of a field, or `fallback` if the field is absent, of another type, or a number that is
// negative or not finite where a floating-point number is expected.
template <class T>
T fieldOr(const nlohmann::json& object, const char* name, T fallback);

// Returns a time or a duration in microseconds; a negative one counts as 0, so that differences do not
// overflow.
Micros timeField(const nlohmann::json& object, const char* name);

nlohmann::json encodeRecord(const LearnedRecord& record);
LearnedRecord decodeRecord(const nlohmann::json& object);

nlohmann::json encodePool(const LearnedPool& pool);
LearnedPool decodePool(const nlohmann::json& object);

}  // namespace grademux::knowledge
