// grademux model: experiments: one or more worlds, played with several policies or settings over several
// seeds; what is compared is always the same world and seed. A finished run is kept and not played again.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tuned.h"
#include "world.h"

namespace grademux::model {

struct Variant {
  std::string name, policy = "module";
  // Settings of the world that differ: "fleet.senders" -> a TOML value as text.
  std::vector<std::pair<std::string, std::string>> set;
  Tuning tune;  // tuned values of the module that differ
};
struct Experiment {
  std::string name, path;
  std::vector<std::string> worlds;  // paths
  std::uint64_t first_seed = 1;
  int seeds = 20;
  std::vector<Variant> variants;
  std::string baseline;   // the variant that the others are compared with
  bool ablation = false;  // with variants of each tuned value, times each of `factors`
};
struct ExperimentReading {
  Experiment experiment;
  std::vector<Mistake> mistakes;
};
ExperimentReading readExperiment(const std::string& path);

// The world's file with the variant's settings in it; mistakes are told as of that file.
Reading varied(const std::string& world_path, const Variant& v);

// Plays what is missing, so many runs at once, each a thread of its own; results go to `folder`, a file of
// JSON lines. `tell` hears of progress. Throws std::runtime_error naming the run that could not be played.
std::vector<nlohmann::json> play(const Experiment& e, const std::string& folder, int jobs,
                                 const std::function<void(std::size_t done, std::size_t all)>& tell);

// Of paired differences: the median, and a 95 % interval of it by bootstrap (percentiles of 2,000 resamples,
// seeded, so that it is the same each time).
struct Difference {
  std::size_t pairs = 0;
  double median = 0, least = 0, most = 0;
  bool seen() const { return pairs >= 5 && (least > 0 || most < 0); }
};
Difference compare(const std::vector<double>& a, const std::vector<double>& b, std::uint64_t seed = 1);
double median(std::vector<double> values);

// For each world: worth of each variant, loss by cause, rules broken, the difference from the baseline, and
// the share of the gap between the best baseline that keeps the rules and the oracle that the module closes.
nlohmann::json summary(const Experiment& e, const std::vector<nlohmann::json>& runs);

}  // namespace grademux::model
