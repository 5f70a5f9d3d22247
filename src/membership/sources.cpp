// See sources.h.
#include "sources.h"

#include <algorithm>

#include "../core/clock.h"
#include "../log/log.h"

namespace grademux {

namespace {

constexpr std::size_t kMaxPendingQueries = 64;  // DNS names queried at the same time

std::string joined(const std::vector<std::string>& all) {
  std::string s;
  for (const std::string& a : all)
    s += (s.empty() ? "" : " ") + a;
  return s;
}

}  // namespace

PartnerSources::PartnerSources(boost::asio::io_context& io, Worker& worker, SourcesSpec spec,
                               const std::vector<std::string>& stored, OnAnswer on_answer)
    : io_(io),
      worker_(worker),
      spec_(std::move(spec)),
      on_answer_(std::move(on_answer)),
      dns_(std::make_unique<DnsClient>(io, spec_.dns)),
      timer_(io) {
  for (const std::string& text : stored) {
    StoredEntry entry;
    if (!parseStoredEntry(text, entry))
      continue;
    stored_addresses_[entry.partner].push_back(entry.address);
    stored_entries_[entry.unit].push_back(std::move(entry));
  }
}

PartnerSources::~PartnerSources() = default;

void PartnerSources::start(std::int64_t version) {
  version_ = version;
  table_.declare(kDaemonFile, spec_.partners);
  openFolders();
  started_ = true;
  publishChanges(kDaemonFile, true);
  stored_entries_.clear();
  stored_addresses_.clear();
}

void PartnerSources::openFolders() {
  for (const FolderSpec& folder : spec_.folders) {
    const auto same = [&](const auto& open) { return open->spec() == folder; };
    if (std::any_of(folders_.begin(), folders_.end(), same))
      continue;
    folders_.push_back(std::make_unique<PartnerFolder>(
        io_, worker_, folder, spec_.defaults,
        [this, folder](FolderChanges result) { onFolderChanges(folder, std::move(result)); }));
    folders_.back()->start();
  }
}

void PartnerSources::refresh() {
  for (const auto& f : folders_)
    f->refresh();
  for (auto& [partner, name] : names_)
    if (!name.query_pending) {
      due_.erase({due_at_[partner], partner});
      due_at_[partner] = 0;
      due_.emplace(0, partner);
    }
  startDueQueries();
}

void PartnerSources::change(SourcesSpec spec) {
  if (spec.dns != spec_.dns) {
    auto fresh = std::make_unique<DnsClient>(io_, spec.dns);
    dns_ = std::move(fresh);  // pending queries are cancelled and sent again
    for (auto& [partner, name] : names_) {
      name.query_pending = false;
      name.generation = ++last_generation_;
    }
    pending_queries_ = 0;
  }
  const bool defaults_changed = !(spec.defaults == spec_.defaults);
  for (auto& [partner, name] : names_)
    name.memory.setLimits(spec.dns_limits, monotonicNow());
  spec_ = std::move(spec);
  // A folder that is no longer configured loses its partners in the same change that adds those of the
  // others.
  const auto named = [&](const auto& open) {
    return !defaults_changed &&
           std::find(spec_.folders.begin(), spec_.folders.end(), open->spec()) != spec_.folders.end();
  };
  folders_.erase(std::remove_if(folders_.begin(), folders_.end(), [&](const auto& f) { return !named(f); }),
                 folders_.end());
  for (const std::string& unit : table_.units()) {
    const auto of = [&](const FolderSpec& f) {
      return f.folder ? unit.rfind(f.path + "/", 0) == 0 : unit == f.path;
    };
    if (unit != kDaemonFile && std::none_of(spec_.folders.begin(), spec_.folders.end(), of))
      table_.declare(unit, {});
  }
  table_.declare(kDaemonFile, spec_.partners);
  started_ = false;
  openFolders();
  started_ = true;
  publishChanges(kDaemonFile);
  refresh();
}

// Declares the partners that an earlier process stored for a unit that cannot be read now.
void PartnerSources::adoptUnit(const std::string& unit) {
  const auto at = stored_entries_.find(unit);
  if (at == stored_entries_.end() || table_.declares(unit))
    return;
  std::map<std::string, Partner> partners;
  for (const StoredEntry& entry : at->second) {
    Partner& restored = partners[entry.partner];
    restored.name = entry.partner;
    restored.formerly = entry.formerly;
    restored.number = entry.number;
    restored.rate = entry.rate;
    restored.endpoints.push_back(entry.address);
    if (!entry.zone.empty())
      restored.zones[entry.address] = entry.zone;
    if (entry.draining)
      restored.draining.push_back(entry.address);
  }
  std::vector<Partner> all;
  for (auto& [name, p] : partners) {
    log::write(log::Event::membership_stale, {{"partner", name}, {"endpoints", joined(p.endpoints)}});
    all.push_back(std::move(p));
  }
  table_.declare(unit, std::move(all));
}

void PartnerSources::onFolderChanges(const FolderSpec& source, FolderChanges result) {
  const bool broken = !result.unreadable.empty() || result.empty;
  if (broken) {
    if (unreadable_.insert(source.path).second) {
      if (result.empty)
        log::write(log::Event::membership_empty_rejected, {{"source", source.path}});
      else
        log::write(log::Event::membership_unreadable,
                   {{"source", source.path}, {"cause", result.unreadable}});
    }
    if (!started_)
      for (const auto& [unit, entries] : stored_entries_)
        if (source.folder ? unit.rfind(source.path + "/", 0) == 0 : unit == source.path)
          adoptUnit(unit);
  } else if (unreadable_.erase(source.path) > 0) {
    log::write(log::Event::membership_readable, {{"source", source.path}});
  }
  bool changed = false;
  for (UnitChange& change : result.changes) {
    if (!change.mistakes.empty()) {
      log::write(log::Event::membership_file_rejected, {{"source", change.unit},
                                                        {"cause", change.mistakes[0].format(change.unit)},
                                                        {"mistakes", change.mistakes.size()}});
      if (!started_)
        adoptUnit(change.unit);
      continue;
    }
    table_.declare(change.unit, std::move(change.partners));
    changed = true;
  }
  if (started_ && changed)
    publishChanges(source.path);
}

void PartnerSources::publishChanges(const std::string& source, bool is_snapshot) {
  PartnerTable::Change change = table_.takeChanges();
  for (const std::string& p : change.partners)
    updateDnsName(p);
  // updateDnsName() may have restored addresses that an earlier process resolved; the first list contains
  // them.
  PartnerTable::Change dns_changes = table_.takeChanges();
  change.entries.insert(change.entries.end(), std::make_move_iterator(dns_changes.entries.begin()),
                        std::make_move_iterator(dns_changes.entries.end()));
  change.conflicts.insert(change.conflicts.end(), dns_changes.conflicts.begin(), dns_changes.conflicts.end());
  for (const PartnerTable::Conflict& c : change.conflicts) {
    if (c.endpoint.empty())
      log::write(log::Event::membership_partner_conflict,
                 {{"partner", c.partner}, {"source", c.unit}, {"owner", c.owner}});
    else
      log::write(log::Event::membership_endpoint_conflict,
                 {{"partner", c.partner}, {"endpoint", c.endpoint}, {"owner", c.owner}});
  }
  if (change.entries.empty() && !is_snapshot)
    return;
  EndpointListAnswer answer;
  answer.index = version_ + 1;
  answer.is_snapshot = is_snapshot;
  answer.changes = std::move(change.entries);
  version_ = on_answer_(std::move(answer));
  log::write(log::Event::membership_changed,
             {{"source", source}, {"partners", table_.partners()}, {"endpoints", table_.endpoints()}});
  startDueQueries();
}

// Starts, replaces or ends the resolution of a partner's DNS name after the partner changed.
void PartnerSources::updateDnsName(const std::string& partner) {
  const Partner* p = table_.find(partner);
  const bool wanted = p && p->name == partner && p->dns;
  const auto known = names_.find(partner);
  if (known != names_.end() && wanted && known->second.memory.spec() == *p->dns)
    return;
  if (known != names_.end()) {
    if (known->second.query_pending)
      --pending_queries_;
    due_.erase({due_at_[partner], partner});
    due_at_.erase(partner);
    names_.erase(known);
  }
  if (!wanted)
    return;
  DnsName& name = names_.emplace(partner, DnsName(*p->dns, spec_.dns_limits)).first->second;
  name.generation = ++last_generation_;
  const auto stored = stored_addresses_.find(partner);
  if (!started_ || stored == stored_addresses_.end()) {
    if (!p->endpoints.empty())
      name.memory.adopt(p->endpoints);
  } else {
    name.memory.adopt(stored->second);
    table_.setResolved(partner, name.memory.endpoints());
    log::write(log::Event::membership_stale, {{"partner", partner}, {"endpoints", joined(stored->second)}});
  }
  scheduleQuery(partner);
}

void PartnerSources::scheduleQuery(const std::string& partner) {
  const Micros at = names_.at(partner).memory.nextDue();
  due_at_[partner] = at;
  due_.emplace(at, partner);
}

void PartnerSources::startDueQueries() {
  const Micros now = monotonicNow();
  bool changed = false;
  std::string last;
  while (!due_.empty() && due_.begin()->first <= now && pending_queries_ < kMaxPendingQueries) {
    const std::string partner = due_.begin()->second;
    due_.erase(due_.begin());
    DnsName& name = names_.at(partner);
    if (name.memory.expire(now)) {
      table_.setResolved(partner, name.memory.endpoints());
      changed = true;
      last = name.memory.spec().name();
    }
    if (due_at_[partner] != 0 && name.memory.nextQuery() > now) {
      scheduleQuery(partner);
      continue;
    }
    name.query_pending = true;
    ++pending_queries_;
    dns_->resolve(name.memory.spec(), [this, partner, generation = name.generation](const DnsAnswer& a) {
      onDnsAnswer(partner, generation, a);
    });
  }
  if (changed)
    return publishChanges(last);  // calls startDueQueries() again
  if (due_.empty() || pending_queries_ >= kMaxPendingQueries)
    return;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(1000, due_.begin()->first - now)));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (!e)
      startDueQueries();
  });
}

void PartnerSources::onDnsAnswer(const std::string& partner, std::uint64_t generation,
                                 const DnsAnswer& answer) {
  const auto at = names_.find(partner);
  if (at == names_.end() || at->second.generation != generation)
    return startDueQueries();
  DnsName& name = at->second;
  name.query_pending = false;
  --pending_queries_;
  const NameMemory::Result result = name.memory.onAnswer(answer, monotonicNow());
  const std::string& dns_name = name.memory.spec().name();
  for (const std::string& endpoint : result.forbidden)
    log::write(log::Event::membership_dns_forbidden,
               {{"partner", partner}, {"name", dns_name}, {"endpoint", endpoint}});
  if (!result.problem.empty() && !name.failing)  // logged once per series of failures
    log::write(log::Event::membership_dns_failed, {{"partner", partner},
                                                   {"name", dns_name},
                                                   {"cause", result.problem},
                                                   {"endpoints", joined(name.memory.endpoints())}});
  name.failing = !result.problem.empty();
  if (result.changed) {
    log::write(log::Event::membership_dns_changed,
               {{"partner", partner}, {"name", dns_name}, {"endpoints", joined(name.memory.endpoints())}});
    table_.setResolved(partner, name.memory.endpoints());
  }
  scheduleQuery(partner);
  result.changed ? publishChanges(dns_name) : startDueQueries();
}

}  // namespace grademux
