// grademux model: reports; see report.h.
#include "report.h"

#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <ostream>
#include <sstream>

#include "ledger.h"

namespace grademux::model {

using nlohmann::json;

namespace {

std::string fixed(double x, int digits = 3) {
  std::ostringstream s;
  s << std::fixed << std::setprecision(digits) << x;
  return s.str();
}

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '&')
      out += "&amp;";
    else if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '"')
      out += "&quot;";
    else
      out += c;
  }
  return out;
}

// A plot by gnuplot's SVG terminal, made to stand in a page; empty if it can't be had.
std::string plotted(const std::string& folder, const std::string& script) {
  const std::string plan = folder + "/plot.gp", out = folder + "/plot.svg";
  std::ofstream(plan)
      << "set terminal svg size 760,300 dynamic background '#ffffff' font 'sans,11'\nset output '" << out
      << "'\nset grid ytics lc rgb '#dddddd'\nset border 3\nset tics nomirror\n"
      << script;
  const int status = std::system(("gnuplot '" + plan + "' 2>'" + folder + "/plot.err'").c_str());
  std::ifstream in(out);
  std::stringstream text;
  text << in.rdbuf();
  const bool good = WIFEXITED(status) && WEXITSTATUS(status) == 0 && in;
  for (const std::string& f : {plan, out, folder + "/plot.err"})
    std::filesystem::remove(f);
  if (!good)
    return {};
  std::string svg = text.str();
  const auto begin = svg.find("<svg");
  return begin == std::string::npos ? std::string() : svg.substr(begin);
}

// The mean over seeds of what `value` gives, second by second, smoothed over five.
std::vector<double> series(const std::vector<const json*>& runs,
                           const std::function<double(const json&, std::size_t)>& value) {
  std::size_t n = 0;
  for (const json* r : runs)
    n = std::max(n, (*r)["over_time"].size());
  std::vector<double> mean(n), smooth(n);
  for (const json* r : runs)
    for (std::size_t i = 0; i < (*r)["over_time"].size(); ++i)
      mean[i] += value(*r, i) / static_cast<double>(runs.size());
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t a = i < 2 ? 0 : i - 2, b = std::min(n, i + 3);
    for (std::size_t k = a; k < b; ++k)
      smooth[i] += mean[k] / static_cast<double>(b - a);
  }
  return smooth;
}

std::string data(const std::string& name, const std::vector<std::vector<double>>& columns) {
  std::ostringstream s;
  s << '$' << name << " << EOD\n";
  for (std::size_t i = 0; !columns.empty() && i < columns[0].size(); ++i) {
    s << i;
    for (const auto& c : columns)
      s << ' ' << (i < c.size() ? c[i] : 0);
    s << '\n';
  }
  s << "EOD\n";
  return s.str();
}

constexpr const char* kColours[] = {"#4269d0", "#efb118", "#ff725c", "#6cc5b0", "#3ca951", "#ff8ab7",
                                    "#a463f2", "#97bbf5", "#9c6b4e", "#9498a0", "#333333"};

std::string worthPlot(const std::string& folder, const Experiment& e,
                      const std::map<std::string, std::vector<const json*>>& variants) {
  std::vector<std::vector<double>> columns;
  std::string lines;
  int i = 0;
  for (const Variant& v : e.variants) {
    const auto& runs = variants.at(v.name);
    const auto offered =
        series(runs, [](const json& r, std::size_t s) { return r["over_time"][s][0].get<double>(); });
    auto got = series(runs, [](const json& r, std::size_t s) { return r["over_time"][s][1].get<double>(); });
    for (std::size_t s = 0; s < got.size(); ++s)
      got[s] = offered[s] > 0 ? got[s] / offered[s] : 1;
    columns.push_back(std::move(got));
    lines += std::string(lines.empty() ? "plot " : ", ") + "$d using 1:" + std::to_string(i + 2) +
             " with lines lw 2 lc rgb '" + kColours[i % 11] + "' title \"" + v.name + "\"";
    ++i;
  }
  return plotted(folder, data("d", columns) +
                             "set yrange [0:1.05]\nset key outside right noenhanced\nset xlabel "
                             "'second in which it was handed in'\nset ylabel 'share of worth delivered'\n" +
                             lines + "\n");
}

// Stacked: what one variant lost, by cause.
std::string lossPlot(const std::string& folder, const std::vector<const json*>& runs) {
  std::vector<std::vector<double>> columns;
  std::vector<std::string> names;
  for (std::size_t c = 0; c < kCauses; ++c) {
    const char* name = nameOf(static_cast<Cause>(c));
    auto s = series(runs, [&](const json& r, std::size_t i) {
      const auto at = r["lost_over_time"].find(name);
      return at == r["lost_over_time"].end() || i >= at->size() ? 0.0 : (*at)[i].get<double>();
    });
    if (std::none_of(s.begin(), s.end(), [](double x) { return x > 0; }))
      continue;
    if (!columns.empty())
      for (std::size_t i = 0; i < s.size(); ++i)
        s[i] += columns.back()[i];
    columns.push_back(std::move(s));
    names.emplace_back(name);
  }
  if (columns.empty())
    return {};
  std::string lines;
  for (std::size_t i = columns.size(); i-- > 0;)
    lines += std::string(lines.empty() ? "plot " : ", ") + "$d using 1:" + std::to_string(i + 2) +
             " with filledcurves x1 fc rgb '" + kColours[i % 11] + "' title \"" + names[i] + "\"";
  return plotted(folder, data("d", columns) +
                             "set yrange [0:*]\nset key outside right noenhanced\nset xlabel 'second in "
                             "which it was handed in'\nset ylabel 'worth lost a second'\n" +
                             lines + "\n");
}

void table(std::ostream& out, const json& variants, const Experiment& e) {
  out << "<table><tr><th>variant<th>worth, median<th>worst seed<th>against " << escaped(e.baseline)
      << " [95&nbsp;%]<th>rules broken<th>lost most to</tr>\n";
  for (const Variant& v : e.variants) {
    const json& r = variants[v.name];
    out << "<tr><td>" << escaped(v.name) << "<td>" << fixed(r["worth"]) << "<td>" << fixed(r["least"])
        << "<td>";
    if (r.contains("difference")) {
      const json& d = r["difference"];
      if (d["seen"] == true)
        out << std::showpos << fixed(d["median"]) << std::noshowpos << " [" << fixed(d["interval"][0]) << ", "
            << fixed(d["interval"][1]) << "]";
      else
        out << "no difference seen";
    }
    out << "<td>";
    if (r["broken"] == 0)
      out << "none";
    for (const auto& [rule, n] : r["rules"].items())
      out << escaped(rule) << " " << n << " ";
    out << "<td>";
    std::vector<std::pair<double, std::string>> causes;
    for (const auto& [cause, lost] : r["lost"].items())
      causes.emplace_back(-lost.get<double>(), cause);
    std::sort(causes.begin(), causes.end());
    for (std::size_t i = 0; i < std::min<std::size_t>(4, causes.size()); ++i)
      out << (i ? ", " : "") << causes[i].second << " " << fixed(-causes[i].first);
    out << "</tr>\n";
  }
  out << "</table>\n";
}

// Each tuned value by each world: what changing it does, where a difference is seen.
void matrix(std::ostream& out, const json& summary, const Experiment& e) {
  out << "<h2>What each tuned value is worth</h2>\n<p>Median difference of worth from " << escaped(e.baseline)
      << " where one is seen; a dot where none is; R: it broke rules.</p>\n<table><tr><th>value";
  for (const auto& [world, w] : summary["worlds"].items())
    out << "<th>" << escaped(world);
  out << "</tr>\n";
  for (const Variant& v : e.variants) {
    if (v.tune.empty())
      continue;
    out << "<tr><td>" << escaped(v.name);
    for (const auto& [world, w] : summary["worlds"].items()) {
      const json& r = w["variants"][v.name];
      out << "<td>";
      if (r["difference"]["seen"] == true)
        out << std::showpos << fixed(r["difference"]["median"]) << std::noshowpos;
      else
        out << "&middot;";
      if (r["broken"].get<std::uint64_t>() > w["variants"][e.baseline]["broken"].get<std::uint64_t>())
        out << " R";
    }
    out << "</tr>\n";
  }
  out << "</table>\n";
}

}  // namespace

std::string report(const Experiment& e, const std::vector<json>& runs, const json& summary,
                   const std::string& folder) {
  std::map<std::string, std::map<std::string, std::vector<const json*>>> by;
  std::ofstream csv(folder + "/worth.csv");
  csv << "world,variant,policy,seed,worth,offered,delivered,messages,in_time,late,undelivered,calls,refusals,"
         "handshakes,rules_broken";
  for (std::size_t c = 0; c < kCauses; ++c)
    csv << ",lost_" << nameOf(static_cast<Cause>(c));
  csv << '\n';
  for (const json& r : runs) {
    by[r["world"]][r["variant"]].push_back(&r);
    csv << r["world"].get<std::string>() << ',' << r["variant"].get<std::string>() << ','
        << r["policy"].get<std::string>();
    for (const char* k : {"seed", "worth", "offered", "delivered", "messages", "in_time", "late",
                          "undelivered", "calls", "refusals", "handshakes", "broken"})
      csv << ',' << r[k];
    for (std::size_t c = 0; c < kCauses; ++c)
      csv << ',' << r["lost"].value(nameOf(static_cast<Cause>(c)), 0.0);
    csv << '\n';
  }
  const std::string path = folder + "/report.html";
  std::ofstream out(path);
  out << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" << escaped(e.name)
      << "</title><style>body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 "
         "1rem;"
         "color:#222}table{border-collapse:collapse;margin:.5rem 0 1rem}td,th{padding:.25rem "
         ".6rem;text-align:left;"
         "border-bottom:1px solid "
         "#ddd;font-variant-numeric:tabular-nums}h2{margin-top:2.2rem}svg{max-width:100%;"
         "height:auto}.note{color:#666}</style>\n<h1>"
      << escaped(e.name) << "</h1>\n<p>" << runs.size() << " runs: " << e.worlds.size() << " worlds, "
      << e.variants.size() << " variants, seeds " << e.first_seed << " to "
      << e.first_seed + static_cast<std::uint64_t>(e.seeds) - 1
      << ". Worth is the share of what was offered; a difference is the median of pairs of the same world "
         "and seed.</p>\n";
  if (e.ablation)
    matrix(out, summary, e);
  bool plots = true;
  for (const auto& [world, variants] : by) {
    out << "<h2>" << escaped(world) << "</h2>\n";
    if (e.ablation)
      continue;
    table(out, summary["worlds"][world]["variants"], e);
    if (summary["worlds"][world].contains("gap_closed"))
      out << "<p>Of the gap between the best baseline that keeps the rules and the oracle the module closes "
          << fixed(summary["worlds"][world]["gap_closed"].get<double>(), 2) << ".</p>\n";
    const std::string worth = worthPlot(folder, e, variants),
                      loss = lossPlot(folder, variants.at(e.baseline));
    plots = plots && !worth.empty();
    out << worth << "\n";
    if (!loss.empty())
      out << "<p class=\"note\">What " << escaped(e.baseline) << " lost, by cause:</p>\n" << loss << "\n";
  }
  if (!plots)
    out << "<p class=\"note\">No plots: gnuplot (Debian's gnuplot-nox) is not there.</p>\n";
  out << "</html>\n";
  return path;
}

void printSummary(const json& summary, std::ostream& out) {
  for (const auto& [world, w] : summary["worlds"].items()) {
    out << world << '\n';
    for (const auto& [name, r] : w["variants"].items()) {
      // Of many variants those that differ.
      if (w["variants"].size() > 12 && r.contains("difference") && r["difference"]["seen"] != true)
        continue;
      out << "  " << std::left << std::setw(14) << name << fixed(r["worth"]) << "  worst "
          << fixed(r["least"]);
      if (r.contains("difference")) {
        const json& d = r["difference"];
        out << "  " << std::showpos << fixed(d["median"]) << std::noshowpos << " [" << fixed(d["interval"][0])
            << ", " << fixed(d["interval"][1]) << "]" << (d["seen"] == true ? "" : " no difference seen");
      }
      if (r["broken"] != 0)
        out << "  rules broken: " << r["rules"].dump();
      out << '\n';
    }
  }
}

}  // namespace grademux::model
