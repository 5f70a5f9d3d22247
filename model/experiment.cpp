// grademux model: experiments; see experiment.h.
#include "experiment.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include "fleet.h"
#include "random.h"

namespace grademux::model {

namespace fs = std::filesystem;

namespace {

constexpr int kResamples = 2000;
constexpr double kGap = 0.01;  // of worth: a smaller gap is not worth dividing

std::string key(const std::string& world, const std::string& variant, std::uint64_t seed,
                const std::string& stamp) {
  return world + " " + variant + " " + std::to_string(seed) + " " + stamp;
}

std::string contents(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Of all that a run's figures hang on beside its seed: the world's text and its base's, the variant, and this
// program. A run with another stamp is not this one.
std::string stampOf(const std::string& world_path, const Variant& v) {
  static const std::uint64_t program = [] {
    const std::string bytes = contents("/proc/self/exe");
    return XXH3_64bits(bytes.data(), bytes.size());
  }();
  std::string all = contents(world_path) + '\n' + v.policy;
  try {
    const toml::table file = toml::parse(all.substr(0, all.rfind('\n')));
    if (const auto base = file["base"].value<std::string>())
      all += contents((fs::path(world_path).parent_path() / *base).string());
  } catch (const toml::parse_error&) {
  }  // told by who reads it
  for (const auto& [name, value] : v.set)
    all += '\n' + name + '=' + value;
  for (const auto& [name, value] : v.tune)
    all += '\n' + name + '=' + std::to_string(value);
  std::ostringstream hex;
  hex << std::hex << XXH3_64bits_withSeed(all.data(), all.size(), program);
  return hex.str();
}

void readVariant(const toml::table& table, Experiment& e, std::vector<Mistake>& mistakes) {
  TomlTable t(table, "variant", mistakes);
  Variant v;
  v.name = t.string("name", "");
  v.policy = t.string("policy", "module");
  if (!policy(v.policy)) {
    std::vector<std::string> names;
    std::string all;
    for (const PolicySpec& p : policies()) {
      names.push_back(p.name);
      all += (all.empty() ? "" : ", ") + p.name;
    }
    const std::string meant = nearestName(v.policy, names);
    t.reportExpected("policy", "one of " + all + " is expected" +
                                   (meant.empty() ? "" : "; \"" + meant + "\" may be meant"));
  }
  if (const toml::node* set = t.node("set")) {
    if (!set->is_table()) {
      t.reportExpected("set", "a table is expected, as { \"fleet.senders\" = 3 }");
    } else {
      for (const auto& [name, value] : *set->as_table()) {
        std::ostringstream text;
        value.visit([&](const auto& x) { text << x; });
        v.set.emplace_back(std::string(name.str()), text.str());
      }
    }
  }
  if (const toml::node* tune = t.node("tune")) {
    if (!tune->is_table()) {
      t.reportExpected("tune", "a table is expected, as { kBurstSeconds = 1.0 }");
    } else {
      TomlTable values(*tune->as_table(), "variant.tune", mistakes);
      for (const TunedValue& own : tunedValues())
        if (values.node(own.name.c_str()))
          v.tune[own.name] = values.number(own.name.c_str(), 0, -1e9, 1e9);
      values.reportUnknownKeys(" in variant.tune");
    }
    if (t.node("policy") && v.policy != "tuned")
      t.reportExpected("tune", "the policy \"tuned\" alone has such values");
    v.policy = "tuned";
  }
  t.reportUnknownKeys(" in a variant");
  for (const Variant& other : e.variants)
    if (other.name == v.name)
      t.reportExpected("name", "a name of its own is expected");
  e.variants.push_back(std::move(v));
}

// Of `ablate`: each tuned value is tried times each of these.
std::vector<double> factors(TomlTable& t) {
  std::vector<double> all;
  const toml::node* n = t.node("ablate");
  if (!n)
    return all;
  const toml::array* list = n->as_array();
  for (std::size_t i = 0; list && i < list->size(); ++i)
    if (const auto f = (*list)[i].value<double>(); f && *f >= 0 && *f <= 1000)
      all.push_back(*f);
  if (!list || all.size() != list->size())
    t.reportExpected("ablate", "a list of factors from 0 to 1000 is expected, as [0, 0.5, 2]");
  return all;
}

}  // namespace

ExperimentReading readExperiment(const std::string& path) {
  ExperimentReading r;
  Experiment& e = r.experiment;
  e.path = path;
  try {
    const toml::table file = toml::parse_file(path);
    TomlTable t(file, "", r.mistakes);
    e.name = t.string("name", "experiment");
    const fs::path folder = fs::path(path).parent_path();
    for (const std::string& w : t.strings("worlds")) {
      e.worlds.push_back((folder / w).lexically_normal().string());
      if (!fs::exists(e.worlds.back()))
        t.reportExpected("worlds", "there is no file " + e.worlds.back());
    }
    if (e.worlds.empty())
      t.reportExpected("worlds", "a list of files is expected");
    e.seeds = static_cast<int>(t.integer("seeds", e.seeds, 1, 10'000));
    e.first_seed = static_cast<std::uint64_t>(t.integer("first_seed", 1, 0, INT64_MAX / 2));
    for (const toml::table* v : t.tables("variant"))
      readVariant(*v, e, r.mistakes);
    if (e.variants.empty())
      t.reportMistake("a [[variant]] is expected");
    for (const double f : factors(t)) {
      e.ablation = true;
      for (const TunedValue& own : tunedValues()) {
        Variant v;
        std::ostringstream name;
        name << own.name << " x " << f;
        v.name = name.str();
        v.policy = "tuned";
        v.tune[own.name] = own.value * f;
        e.variants.push_back(std::move(v));
      }
    }
    e.baseline = t.string("baseline", e.variants.empty() ? "module" : e.variants.front().name);
    if (std::none_of(e.variants.begin(), e.variants.end(),
                     [&](const Variant& v) { return v.name == e.baseline; }))
      t.reportExpected("baseline", "the name of a variant is expected");
    t.reportUnknownKeys("");
  } catch (const toml::parse_error& x) {
    r.mistakes.push_back({x.source().begin.line, x.source().begin.column, std::string(x.description())});
  }
  return r;
}

Reading varied(const std::string& world_path, const Variant& v) {
  if (v.set.empty())
    return readWorld(world_path);
  toml::table file;
  try {
    file = toml::parse_file(world_path);
  } catch (const toml::parse_error&) {
    return readWorld(world_path);
  }  // which tells of it
  Reading r;
  for (const auto& [name, value] : v.set) {
    const auto dot = name.find('.');
    toml::table* of = dot == std::string::npos ? &file : file[name.substr(0, dot)].as_table();
    if (!of) {
      r.mistakes.push_back({0, 0, "set \"" + name + "\": there is no [" + name.substr(0, dot) + "]"});
      return r;
    }
    const toml::table given = toml::parse("x = " + value);
    of->insert_or_assign(name.substr(dot == std::string::npos ? 0 : dot + 1), *given.get("x"));
  }
  std::ostringstream text;
  text << file;
  r = readWorldText(text.str(), world_path);
  return r;
}

std::vector<json> play(const Experiment& e, const std::string& folder, int jobs,
                       const std::function<void(std::size_t, std::size_t)>& tell) {
  struct Run {
    std::string world, variant;
    const World* of;
    const PolicySpec* policy;
    std::uint64_t seed;
    std::shared_ptr<const Tuning> tuning;
    std::string key;
  };
  fs::create_directories(folder);
  const std::string kept = folder + "/runs.jsonl";
  std::map<std::string, json> have;
  {
    std::ifstream in(kept);
    for (std::string line; std::getline(in, line);) {
      json r = json::parse(line, nullptr, false);  // a last line that was cut short is played again
      if (r.is_object() && r.contains("key"))
        have[r["key"].get<std::string>()] = r;
    }
  }
  std::deque<World> worlds;
  std::vector<Run> runs;
  std::vector<std::string> keys;
  for (const std::string& path : e.worlds)
    for (const Variant& v : e.variants) {
      Reading r = varied(path, v);
      if (!r.mistakes.empty())
        throw std::runtime_error(r.mistakes.front().format(path));
      worlds.push_back(std::move(r.world));
      const std::string stamp = stampOf(path, v);
      const auto tuning = v.tune.empty() ? nullptr : std::make_shared<const Tuning>(v.tune);
      for (int i = 0; i < e.seeds; ++i) {
        const std::uint64_t seed = e.first_seed + static_cast<std::uint64_t>(i);
        keys.push_back(key(worlds.back().name, v.name, seed, stamp));
        if (!have.count(keys.back()))
          runs.push_back(
              {worlds.back().name, v.name, &worlds.back(), policy(v.policy), seed, tuning, keys.back()});
      }
    }
  std::ofstream out(kept, std::ios::app);
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  std::size_t done = 0;
  std::exception_ptr failed;
  const auto work = [&] {
    for (std::size_t i = next++; i < runs.size(); i = next++) {
      const Run& r = runs[i];
      try {
        json figures = Fleet(*r.of, {r.policy, r.seed, r.tuning}).play();
        figures["variant"] = r.variant;
        figures["key"] = r.key;
        const std::lock_guard<std::mutex> lock(mutex);
        out << figures.dump() << '\n' << std::flush;
        have[r.key] = std::move(figures);
        if (tell)
          tell(++done, runs.size());
      } catch (const std::exception& x) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!failed)
          failed = std::make_exception_ptr(std::runtime_error(r.key + ": " + x.what()));
        next = runs.size();
      }
    }
  };
  std::vector<std::thread> threads;
  for (int j = 0; j < std::max(1, jobs); ++j)
    threads.emplace_back(work);
  for (std::thread& t : threads)
    t.join();
  if (failed)
    std::rethrow_exception(failed);
  std::vector<json> all;
  for (const std::string& k : keys)
    all.push_back(have.at(k));
  out.close();  // what is not of this experiment as it now is goes
  {
    std::ofstream now(kept + ".new");
    for (const json& r : all)
      now << r.dump() << '\n';
  }
  fs::rename(kept + ".new", kept);
  return all;
}

double median(std::vector<double> v) {
  if (v.empty())
    return 0;
  std::sort(v.begin(), v.end());
  const std::size_t n = v.size();
  return n % 2 ? v[n / 2] : (v[n / 2 - 1] + v[n / 2]) / 2;
}

Difference compare(const std::vector<double>& a, const std::vector<double>& b, std::uint64_t seed) {
  Difference d;
  std::vector<double> diffs;
  for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
    diffs.push_back(a[i] - b[i]);
  d.pairs = diffs.size();
  if (diffs.empty())
    return d;
  d.median = median(diffs);
  Stream random(seed, "bootstrap");
  std::vector<double> medians, sample(diffs.size());
  for (int i = 0; i < kResamples; ++i) {
    for (double& x : sample)
      x = diffs[random.below(diffs.size())];
    medians.push_back(median(sample));
  }
  std::sort(medians.begin(), medians.end());
  d.least = medians[static_cast<std::size_t>(0.025 * kResamples)];
  d.most = medians[static_cast<std::size_t>(0.975 * kResamples)];
  return d;
}

json summary(const Experiment& e, const std::vector<json>& runs) {
  std::map<std::string, std::map<std::string, std::vector<const json*>>> by;  // world, variant
  for (const json& r : runs)
    by[r["world"]][r["variant"]].push_back(&r);
  const auto worths = [](const std::vector<const json*>& all) {
    std::vector<double> w;
    for (const json* r : all)
      w.push_back((*r)["worth"]);
    return w;
  };
  json out = {{"experiment", e.name}, {"runs", runs.size()}, {"worlds", json::object()}};
  std::uint64_t broken = 0;
  for (const auto& [world, variants] : by) {
    json table = json::object();
    double best = -1, oracle = -1, module = -1;
    for (const Variant& v : e.variants) {
      const auto& all = variants.at(v.name);
      const std::vector<double> w = worths(all);
      json causes = json::object(), rules = json::object();
      std::uint64_t broken_here = 0;
      for (const json* r : all) {
        broken_here += (*r)["broken"].get<std::uint64_t>();
        for (const auto& [rule, n] : (*r)["rules"].items())
          rules[rule] = rules.value(rule, std::uint64_t{0}) + n.get<std::uint64_t>();
        for (const auto& [cause, lost] : (*r)["lost"].items())
          causes[cause] = causes.value(cause, 0.0) + lost.get<double>() / (*r)["offered"].get<double>() /
                                                         static_cast<double>(all.size());
      }
      const double m = median(w);
      if (v.name == e.baseline)
        broken += broken_here;
      json row = {{"policy", v.policy},
                  {"worth", m},
                  {"least", *std::min_element(w.begin(), w.end())},
                  {"lost", causes},
                  {"broken", broken_here},
                  {"rules", rules}};
      if (v.name != e.baseline) {
        const Difference d = compare(w, worths(variants.at(e.baseline)));
        row["difference"] = {
            {"median", d.median}, {"interval", {d.least, d.most}}, {"pairs", d.pairs}, {"seen", d.seen()}};
      }
      table[v.name] = std::move(row);
      if (v.policy == "oracle")
        oracle = std::max(oracle, m);
      else if (v.policy != "module" && broken_here == 0)
        best = std::max(best, m);
      else if (v.name == e.baseline)
        module = m;
    }
    json entry = {{"variants", std::move(table)}};
    if (best >= 0 && oracle > best + kGap && module >= 0)
      entry["gap_closed"] = (module - best) / (oracle - best);
    out["worlds"][world] = std::move(entry);
  }
  out["rules_broken"] = broken;
  return out;
}

}  // namespace grademux::model
