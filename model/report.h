// grademux model: an experiment as one page that needs no network and no script, with plots that gnuplot has
// drawn as SVG, and the same figures as CSV. Without gnuplot the page has its tables alone, and says so.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "experiment.h"

namespace grademux::model {

// Writes report.html and worth.csv into the folder; gives the page's path.
std::string report(const Experiment& e, const std::vector<nlohmann::json>& runs,
                   const nlohmann::json& summary, const std::string& folder);
void printSummary(const nlohmann::json& summary, std::ostream& out);

}  // namespace grademux::model
