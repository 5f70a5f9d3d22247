// grademux: membership of a program that stands alone; see sources.h.
#include "sources.h"

#include <algorithm>

#include "../core/clock.h"
#include "../log/log.h"

namespace grademux {

namespace {

constexpr std::size_t kMostAsking = 64;  // names that are asked for at once

std::string joined(const std::vector<std::string>& all) {
  std::string s;
  for (const std::string& a : all)
    s += (s.empty() ? "" : " ") + a;
  return s;
}

}  // namespace

PartnerSources::PartnerSources(boost::asio::io_context& io, Worker& worker, SourcesSpec spec,
                               const std::vector<std::string>& kept, OnAnswer hear)
    : io_(io),
      worker_(worker),
      spec_(std::move(spec)),
      hear_(std::move(hear)),
      dns_(std::make_unique<DnsClient>(io, spec_.dns)),
      timer_(io) {
  for (const std::string& text : kept) {
    KeptEntry k;
    if (!readKept(text, k))
      continue;
    kept_addresses_[k.partner].push_back(k.address);
    kept_[k.unit].push_back(std::move(k));
  }
}

PartnerSources::~PartnerSources() = default;

void PartnerSources::start(std::int64_t version) {
  version_ = version;
  table_.declare(kDaemonFile, spec_.partners);
  openFolders();
  started_ = true;
  tell(kDaemonFile, true);
  kept_.clear();
  kept_addresses_.clear();
}

void PartnerSources::openFolders() {
  for (const FolderSpec& f : spec_.folders) {
    const auto same = [&](const auto& open) { return open->spec() == f; };
    if (std::any_of(folders_.begin(), folders_.end(), same))
      continue;
    folders_.push_back(std::make_unique<PartnerFolder>(
        io_, worker_, f, spec_.defaults, [this, f](FolderChanges news) { heard(f, std::move(news)); }));
    folders_.back()->start();
  }
}

void PartnerSources::refresh() {
  for (const auto& f : folders_)
    f->refresh();
  for (auto& [partner, name] : names_)
    if (!name.asking) {
      due_.erase({due_at_[partner], partner});
      due_at_[partner] = 0;
      due_.emplace(0, partner);
    }
  lookUp();
}

void PartnerSources::change(SourcesSpec spec) {
  if (spec.dns != spec_.dns) {
    auto fresh = std::make_unique<DnsClient>(io_, spec.dns);
    dns_ = std::move(fresh);  // what was under way is asked anew
    for (auto& [partner, name] : names_) {
      name.asking = false;
      name.turn = ++turn_;
    }
    asking_ = 0;
  }
  const bool anew = !(spec.defaults == spec_.defaults);
  for (auto& [partner, name] : names_)
    name.memory.setLimits(spec.dns_limits, monotonicNow());
  spec_ = std::move(spec);
  // A folder that is named no more takes its partners with it, in the change that brings the others.
  const auto named = [&](const auto& open) {
    return !anew &&
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
  tell(kDaemonFile);
  refresh();
}

// What an earlier process had of a unit that can't be read now.
void PartnerSources::adoptUnit(const std::string& unit) {
  const auto at = kept_.find(unit);
  if (at == kept_.end() || table_.declares(unit))
    return;
  std::map<std::string, Partner> partners;
  for (const KeptEntry& k : at->second) {
    Partner& p = partners[k.partner];
    p.name = k.partner;
    p.formerly = k.formerly;
    p.number = k.number;
    p.rate = k.rate;
    p.endpoints.push_back(k.address);
    if (!k.zone.empty())
      p.zones[k.address] = k.zone;
    if (k.draining)
      p.draining.push_back(k.address);
  }
  std::vector<Partner> all;
  for (auto& [name, p] : partners) {
    log::write(log::Event::membership_stale, {{"partner", name}, {"endpoints", joined(p.endpoints)}});
    all.push_back(std::move(p));
  }
  table_.declare(unit, std::move(all));
}

void PartnerSources::heard(const FolderSpec& source, FolderChanges news) {
  const bool broken = !news.unreadable.empty() || news.empty;
  if (broken) {
    if (unreadable_.insert(source.path).second) {
      if (news.empty)
        log::write(log::Event::membership_empty_rejected, {{"source", source.path}});
      else
        log::write(log::Event::membership_unreadable, {{"source", source.path}, {"cause", news.unreadable}});
    }
    if (!started_)
      for (const auto& [unit, entries] : kept_)
        if (source.folder ? unit.rfind(source.path + "/", 0) == 0 : unit == source.path)
          adoptUnit(unit);
  } else if (unreadable_.erase(source.path) > 0) {
    log::write(log::Event::membership_readable, {{"source", source.path}});
  }
  bool changed = false;
  for (UnitChange& c : news.changes) {
    if (!c.mistakes.empty()) {
      log::write(
          log::Event::membership_file_rejected,
          {{"source", c.unit}, {"cause", c.mistakes[0].format(c.unit)}, {"mistakes", c.mistakes.size()}});
      if (!started_)
        adoptUnit(c.unit);
      continue;
    }
    table_.declare(c.unit, std::move(c.partners));
    changed = true;
  }
  if (started_ && changed)
    tell(source.path);
}

void PartnerSources::tell(const std::string& source, bool whole) {
  PartnerTable::Change change = table_.take();
  for (const std::string& p : change.partners)
    follow(p);
  // Names that an earlier process had resolved are known before the core hears the first list.
  PartnerTable::Change more = table_.take();
  change.entries.insert(change.entries.end(), std::make_move_iterator(more.entries.begin()),
                        std::make_move_iterator(more.entries.end()));
  change.conflicts.insert(change.conflicts.end(), more.conflicts.begin(), more.conflicts.end());
  for (const PartnerTable::Conflict& c : change.conflicts) {
    if (c.endpoint.empty())
      log::write(log::Event::membership_partner_conflict,
                 {{"partner", c.partner}, {"source", c.unit}, {"owner", c.owner}});
    else
      log::write(log::Event::membership_endpoint_conflict,
                 {{"partner", c.partner}, {"endpoint", c.endpoint}, {"owner", c.owner}});
  }
  if (change.entries.empty() && !whole)
    return;
  EndpointListAnswer answer;
  answer.index = version_ + 1;
  answer.is_snapshot = whole;
  answer.changes = std::move(change.entries);
  version_ = hear_(std::move(answer));
  log::write(log::Event::membership_changed,
             {{"source", source}, {"partners", table_.partners()}, {"endpoints", table_.endpoints()}});
  lookUp();
}

// A partner whose name in DNS is new, another, or not asked for any more.
void PartnerSources::follow(const std::string& partner) {
  const Partner* p = table_.find(partner);
  const bool wanted = p && p->name == partner && p->dns;
  const auto known = names_.find(partner);
  if (known != names_.end() && wanted && known->second.memory.spec() == *p->dns)
    return;
  if (known != names_.end()) {
    if (known->second.asking)
      --asking_;
    due_.erase({due_at_[partner], partner});
    due_at_.erase(partner);
    names_.erase(known);
  }
  if (!wanted)
    return;
  Name& name = names_.emplace(partner, Name(*p->dns, spec_.dns_limits)).first->second;
  name.turn = ++turn_;
  const auto kept = kept_addresses_.find(partner);
  if (!started_ || kept == kept_addresses_.end()) {
    if (!p->endpoints.empty())
      name.memory.adopt(p->endpoints);
  } else {
    name.memory.adopt(kept->second);
    table_.resolved(partner, name.memory.endpoints());
    log::write(log::Event::membership_stale, {{"partner", partner}, {"endpoints", joined(kept->second)}});
  }
  schedule(partner);
}

void PartnerSources::schedule(const std::string& partner) {
  const Micros at = names_.at(partner).memory.nextLook();
  due_at_[partner] = at;
  due_.emplace(at, partner);
}

void PartnerSources::lookUp() {
  const Micros now = monotonicNow();
  bool changed = false;
  std::string last;
  while (!due_.empty() && due_.begin()->first <= now && asking_ < kMostAsking) {
    const std::string partner = due_.begin()->second;
    due_.erase(due_.begin());
    Name& name = names_.at(partner);
    if (name.memory.expire(now)) {
      table_.resolved(partner, name.memory.endpoints());
      changed = true;
      last = name.memory.spec().name();
    }
    if (due_at_[partner] != 0 && name.memory.nextQuery() > now) {
      schedule(partner);
      continue;
    }
    name.asking = true;
    ++asking_;
    dns_->resolve(name.memory.spec(),
                  [this, partner, turn = name.turn](const DnsAnswer& a) { answered(partner, turn, a); });
  }
  if (changed)
    return tell(last);  // comes back here
  if (due_.empty() || asking_ >= kMostAsking)
    return;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(1000, due_.begin()->first - now)));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (!e)
      lookUp();
  });
}

void PartnerSources::answered(const std::string& partner, std::uint64_t turn, const DnsAnswer& answer) {
  const auto at = names_.find(partner);
  if (at == names_.end() || at->second.turn != turn)
    return lookUp();
  Name& name = at->second;
  name.asking = false;
  --asking_;
  const NameMemory::Result h = name.memory.onAnswer(answer, monotonicNow());
  const std::string& asked = name.memory.spec().name();
  for (const std::string& f : h.forbidden)
    log::write(log::Event::membership_dns_forbidden,
               {{"partner", partner}, {"name", asked}, {"endpoint", f}});
  if (!h.trouble.empty() && !name.failing)  // once for each time that it begins
    log::write(log::Event::membership_dns_failed, {{"partner", partner},
                                                   {"name", asked},
                                                   {"cause", h.trouble},
                                                   {"endpoints", joined(name.memory.endpoints())}});
  name.failing = !h.trouble.empty();
  if (h.changed) {
    log::write(log::Event::membership_dns_changed,
               {{"partner", partner}, {"name", asked}, {"endpoints", joined(name.memory.endpoints())}});
    table_.resolved(partner, name.memory.endpoints());
  }
  schedule(partner);
  h.changed ? tell(asked) : lookUp();
}

}  // namespace grademux
