// grademux audit: what trails and journals of many senders say, for people and programs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux::audit {

struct Question {
  std::vector<std::string> folders;  // state folders: each with a trail and a journal
  std::optional<Micros> at;          // who acted by what then; Unix time
  std::optional<std::int64_t> plan;  // who took it over, and when
  std::string message, sender;
  bool gaps = false, as_json = false;
};

// Reads "2026-12-01T10:00:00Z", or seconds since 1970 with or without a fraction.
std::optional<Micros> readTime(const std::string& text);

// 0: answered and nothing stands against it; 1: there are gaps where it was looked for, or nothing is known.
int audit(const Question& q);

}  // namespace grademux::audit
