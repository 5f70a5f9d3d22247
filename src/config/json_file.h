// Reads files of JSON that people and programs write for the sender.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace grademux {

/// Reads the JSON object in a file. Throws BadInput if the file can't be read, is not a JSON object, or has a
/// key twice in one object: RFC 8259 leaves open which of the two values counts.
nlohmann::json readJsonFile(const std::string& path);

}  // namespace grademux
