// The stored field names of the learned state, both ways. Nothing past this module knows them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "../core/learned_state.h"

namespace grademux::knowledge {

// The value of a field, or `fallback` if the field is absent, of another kind, or a number that is negative
// or not finite where a floating-point number is expected.
template <class T>
T fieldOr(const nlohmann::json& object, const char* name, T fallback);

// A moment or a span; never negative, so that differences stay in range.
Micros momentField(const nlohmann::json& object, const char* name);

nlohmann::json encodeRecord(const LearnedRecord& record);
LearnedRecord decodeRecord(const nlohmann::json& object);

nlohmann::json encodePool(const LearnedPool& pool);
LearnedPool decodePool(const nlohmann::json& object);

}  // namespace grademux::knowledge
