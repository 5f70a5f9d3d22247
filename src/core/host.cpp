// grademux: the host; see host.h.
#include "host.h"

#include <algorithm>
#include <cmath>

#include "../decision/classes.h"
#include "../knowledge/ageing.h"
#include "../log/log.h"
#include "clock.h"

namespace grademux {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kListSlice = 1000;                    // changes of the list in one turn
constexpr Micros kAilmentAge = 30 * 24LL * 3600 * 1000000;  // health not heard of for so long is dropped
constexpr Micros kWakeGrain = 1000;                         // wakes this close are one
constexpr Micros kHandover = 100'000;  // a client comes back after this while another process takes over

// Moments of one clock as the other has them; what is unknown stays so.
void shift(Micros& moment, Micros by) {
  if (moment > 0)
    moment += by;
}
void shift(Ailment& a, Micros by) {
  a.cold_since += by;
  a.noted += by;
  shift(a.wait_until, by);
}
void shift(Lesson& l, Micros by) {
  shift(l.heard, by);
  shift(l.came, by);
}
void shift(Experience& p, Micros by) {
  shift(p.heard, by);
  shift(p.dead_at, by);
}

}  // namespace

Host::Host(asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
           Transport& transport, EndNotices& notices)
    : io_(io),
      settings_(settings),
      classes_(decision::classesOf(settings_)),
      sender_(std::move(settings), seed),
      journal_(journal),
      transport_(transport),
      notices_(notices),
      turn_timer_(io),
      wake_timer_(io) {
  for (const MessageClass& c : settings_.classes)
    longest_ = std::max(longest_, c.deadline);
}

void Host::recover(const json& known, const knowledge::Book& learned, const std::set<CallId>& out) {
  const Journal::Recovered& r = journal_.recovered();
  if (r.damaged > 0)
    log::write(log::Event::journal_damaged, {{"stretches", r.damaged}});
  if (r.torn)
    log::write(log::Event::journal_torn);
  // The newer of the two lists: a drain that was heard before the restart still counts.
  json list = known;
  if (r.list_index >= 0 && (!list.is_object() || r.list_index >= number(list, "index", -1))) {
    json entries = json::array();
    for (const std::string& e : r.list)
      entries.push_back(json::parse(e, nullptr, false));
    list = {{"index", r.list_index}, {"snapshot", true}, {"endpoints", std::move(entries)}};
  }
  if (list.is_object() && !list.empty()) {
    list_.take(readList(list));
    tellList(SIZE_MAX, ListKind::cached);
  }
  journal_.forgetAilments(unixNow() - kAilmentAge);
  const Micros ahead = monotonicNow() - unixNow();
  recall(learned, ahead);
  for (Ailment a : r.ailments) {
    if (!knowledge::aged(a, unixNow(), settings_.ramp_time))
      continue;
    shift(a, ahead);
    events_.push_back(a);
  }
  for (const Journal::Entry& e : r.entries) {
    if (e.ended) {
      const Ending how = e.notice.handed_back ? Ending::handed_back : Ending::given_up;
      owed_[e.message.id] = {{how, e.notice.at, e.notice.retry_in_ms * 1000}, digestOf(e.message), 0};
      notices_.owe(e.message.id, e.notice);
      continue;
    }
    Held& h = held_[e.message.id];
    h.message = e.message;
    h.digest = digestOf(e.message);
    h.attempts = static_cast<int>(e.attempts.size());
    Resumed m;
    m.message.id = e.message.id;
    m.message.message_class = e.message.message_class;
    m.message.order_key = e.message.order_key;
    m.message.destination = e.message.destination;
    m.message.give_up_at = e.message.give_up_at + ahead;
    m.message.repeat = true;
    m.rules = e.message.rules;
    if (m.rules)
      longest_ = std::max(longest_, m.rules->deadline);
    for (const JournaledAttempt& a : e.attempts) {
      const int attempt = static_cast<int>(m.attempts.size());
      m.attempts.push_back(
          {a.endpoint, a.sent + ahead, !a.never_ran, out.count({e.message.id, attempt}) > 0});
    }
    events_.push_back(std::move(m));
  }
  if (!r.entries.empty())
    log::write(log::Event::journal_resumed, {{"messages", r.entries.size()}});
  journal_.forgetRecovered();
  if (!events_.empty())
    turn();
}

// What is known of an endpoint holds for the machine that it was learned of.
void Host::recall(const knowledge::Book& learned, Micros ahead) {
  const Micros now = unixNow();
  Experience pool = knowledge::aged(learned.pool, now);
  shift(pool, ahead);
  if (pool.typical_of > 0 || pool.dead_score > 0)
    events_.push_back(pool);
  for (const knowledge::Known& k : learned.known) {
    const ListedEndpoint* listed = k.lesson.endpoint.empty() ? nullptr : list_.find(k.lesson.endpoint);
    if (!k.lesson.endpoint.empty() && (!listed || listed->address != k.address))
      continue;
    if (!list_.lists(k.lesson.destination))
      continue;
    Lesson l = knowledge::aged(k.lesson, now);
    if (l.limit <= 0 && l.samples == 0 && l.risk <= 0 && l.traffic <= 0)
      continue;
    shift(l, ahead);
    events_.push_back(std::move(l));
  }
}

knowledge::Known Host::shown(const Lesson& lesson) const {
  knowledge::Known k{lesson, ""};
  shift(k.lesson, unixNow() - monotonicNow());
  const ListedEndpoint* listed = lesson.endpoint.empty() ? nullptr : list_.find(lesson.endpoint);
  if (listed)
    k.address = listed->address;
  return k;
}

void Host::survey(std::int64_t after, int most, Learned then) {
  surveyed_ = std::move(then);
  add(Survey{after, most});
}

knowledge::Book Host::learned() {
  knowledge::Book book;
  surveyed_ = [&](std::vector<knowledge::Known> known, const Surveyed& end) {
    book.known = std::move(known);
    book.pool = end.pool;
  };
  // One that was asked for and waits for its turn would tell the same once more.
  events_.erase(std::remove_if(events_.begin(), events_.end(),
                               [](const Event& e) { return std::holds_alternative<Survey>(e); }),
                events_.end());
  events_.push_back(Survey{INT64_MIN, INT32_MAX});
  turn();
  return book;
}

std::int64_t Host::list(ListAnswer answer) {
  list_.take(std::move(answer));
  if (suspended_)
    return list_.index();
  if (!telling_ && list_.pending())
    tellList(kListSlice, ListKind::delta);
  return list_.index();
}

void Host::tellList(std::size_t most, ListKind kind) {
  telling_ = true;
  MembershipList::Slice s = list_.next(most);
  ListUpdate u;
  u.kind = s.whole && kind == ListKind::delta ? ListKind::full : kind;
  std::vector<std::pair<std::string, std::string>> kept;
  for (ListChange& c : s.changes) {
    const Endpoint& e = c.entry.endpoint;
    transport_.withhold(e.id);
    if (e.state == EndpointState::gone)
      transport_.forget(e.id);
    else
      transport_.address(e.id, c.entry.address);
    kept.emplace_back(e.id, std::move(c.text));
    u.endpoints.push_back(std::move(c.entry.endpoint));
    u.endpoints.back().state = shown(u.endpoints.back());
  }
  // Sends are made in turns alone, so none goes before the module has heard this.
  if (!journal_.listed(kept, s.index, s.whole))
    log::write(log::Event::journal_list_too_large, {{"endpoints", list_.size()}});
  const Micros now = monotonicNow();
  for (const std::int64_t d : s.unlisted) {
    left_[d] = now;
    left_order_.emplace_back(now, d);
  }
  for (; !left_order_.empty() && now - left_order_.front().first > longest_; left_order_.pop_front()) {
    const auto at = left_.find(left_order_.front().second);
    if (at != left_.end() && at->second == left_order_.front().first)
      left_.erase(at);
  }
  add(std::move(u));
}

bool Host::knowsDestination(std::int64_t destination) const {
  if (list_.lists(destination))
    return true;
  const auto left = left_.find(destination);
  return left != left_.end() && monotonicNow() - left->second <= longest_;
}

void Host::submit(Submission s, Reply reply) {
  if (suspended_)
    return reply(Answer::refused(kHandover));
  if (closed_)
    return reply(Answer::refused(settings_.max_pause));
  if (!s.partner.empty())
    return reply(Answer::rejected("unknown-destination", "unknown partner"));
  const TakenOn& m = s.message;
  const auto cls = std::find_if(classes_.begin(), classes_.end(),
                                [&](const ClassVersion& c) { return c->name == m.message_class; });
  if (cls == classes_.end())
    return reply(Answer::rejected("unknown-class", "unknown class"));
  if ((*cls)->effect == Effect::keyed && m.idempotency_key.empty())
    return reply(Answer::rejected("missing-key", "no k"));
  // The id first: what was taken on stays so, even if its destination is listed no more.
  const std::uint64_t digest = digestOf(m);
  Answer known;
  if (auto it = held_.find(m.id); it != held_.end()) {
    if (it->second.digest != digest)
      known.kind = Answer::Kind::conflict;
    else if (!it->second.replies.empty())
      return it->second.replies.push_back(std::move(reply));
    return reply(known);
  }
  if (const Past* past = pastOf(m.id)) {
    if (past->digest != (past->by_fnv ? digestByFnv(m) : digest))
      known.kind = Answer::Kind::conflict;
    else if (!ended_.count(m.id))
      known.end = past->end;
    return reply(known);
  }
  if (list_.size() == 0 && left_.empty())
    return reply(Answer::refused(settings_.max_pause));
  if (!knowsDestination(m.destination))
    return reply(Answer::rejected("unknown-destination", "unknown destination"));
  s.message.rules = *cls;
  if (!journal_.reserve(m))
    return reply(Answer::refused(settings_.max_pause));
  Arrival a;
  a.id = m.id;
  a.message_class = m.message_class;
  a.order_key = m.order_key;
  a.destination = m.destination;
  a.give_up_at = monotonicNow() + s.may_last;
  a.repeat = m.repeat;
  Held& h = held_[m.id];
  h.message = std::move(s.message);
  h.message.give_up_at = unixNow() + s.may_last;
  h.digest = digest;
  h.replies.push_back(std::move(reply));
  fresh_.insert(a.id);
  add(std::move(a));
}

const Past* Host::pastOf(const std::string& id) const {
  const auto owed = owed_.find(id);
  return owed != owed_.end() ? &owed->second : journal_.past(id);
}

Status Host::status(const std::string& id) const {
  Status s;
  const auto held = held_.find(id);
  if (held != held_.end()) {  // one that is not on record yet is not known
    if (held->second.replies.empty())
      s.state = Status::State::open;
    return s;
  }
  const Past* past = pastOf(id);
  if (!past)
    return s;
  s.state = ended_.count(id) ? Status::State::open : Status::State::ended;
  s.end = past->end;
  return s;
}

void Host::whenEnded(const std::string& id, std::function<void(const End&)> then) {
  const auto held = held_.find(id);
  if (held != held_.end())
    return held->second.watchers.push_back(std::move(then));
  const auto ended = ended_.find(id);
  if (ended != ended_.end())
    ended->second.watchers.push_back(std::move(then));
}

void Host::outcome(Outcome o) {
  if (right_)
    right_->ended(o);
  auto it = held_.find(o.id);
  if (it != held_.end()) {
    if (o.finished) {
      const End end{o.result == Result::ok ? Ending::delivered : Ending::withdrawn, unixNow(), 0};
      journal_.over(o.id, {end, it->second.digest, unixNow() + longest_});
      over(o.id, end);
    } else if (o.result == Result::full || o.result == Result::connect_failed ||
               o.result == Result::not_sent) {
      journal_.neverRan(o.id, static_cast<std::size_t>(o.attempt));
    }
  }
  add(std::move(o));
}

// Written with the next turn: until then a restart would tell it once more, which does no harm.
void Host::told(const std::string& id) {
  auto it = owed_.find(id);
  if (it == owed_.end())
    return;
  it->second.until = unixNow() + longest_;
  journal_.over(id, it->second);
  owed_.erase(it);
}

void Host::retune(Settings settings) {
  settings_ = std::move(settings);
  classes_ = decision::classesOf(settings_);
  // Never less: ids of messages that came under a longer deadline may come again for as long.
  for (const MessageClass& c : settings_.classes)
    longest_ = std::max(longest_, c.deadline);
  add(Retuned{settings_});
}

void Host::suspend() {
  if (turn_due_ || !events_.empty())
    turn();
  if (!events_.empty())
    turn();  // calls that could not be written, say
  suspended_ = true;
  turn_due_ = false;
  turn_timer_.cancel();
  wake_timer_.cancel();
  journal_.release();
}

void Host::resume() {
  suspended_ = false;
  add(Wake{});
  if (!telling_ && list_.pending())
    tellList(kListSlice, ListKind::delta);
  wake();
}

void Host::close() {
  if (closed_)
    return;
  closed_ = true;
  add(list_.as([this](const Endpoint& e) { return shown(e); }));
}

void Host::open() {
  if (!closed_)
    return;
  closed_ = false;
  add(list_.as([this](const Endpoint& e) { return shown(e); }));
}

void Host::bind(Right* right) {
  right_ = right;
  if (right)
    list_.as([right](const Endpoint& e) { return right->shows(e); });  // it knows all that is listed
}

EndpointState Host::shown(const Endpoint& e) const {
  const EndpointState state = right_ ? right_->shows(e) : e.state;
  return closed_ && state == EndpointState::ready ? EndpointState::draining : state;
}

void Host::reshow(const std::vector<std::string>& endpoints) {
  ListUpdate u;
  u.kind = ListKind::delta;
  for (const std::string& id : endpoints)
    if (const ListedEndpoint* e = list_.find(id)) {
      u.endpoints.push_back(e->endpoint);
      u.endpoints.back().state = shown(e->endpoint);
    }
  if (!u.endpoints.empty())
    add(std::move(u));
}

std::string Host::waitScope(const std::string& endpoint) const {
  const ListedEndpoint* listed = list_.find(endpoint);
  if (!listed)
    return "endpoint " + endpoint;
  const Endpoint& e = listed->endpoint;
  const auto kind = std::find_if(settings_.kinds.begin(), settings_.kinds.end(),
                                 [&](const Kind& k) { return k.name == e.kind; });
  const bool apart = kind != settings_.kinds.end() && kind->routes_apart;
  return apart ? "endpoint " + endpoint : "destination " + std::to_string(e.destination);
}

bool Host::mayBegin(const CallId& id, const Held& h, const std::string& endpoint) {
  if (!right_)
    return true;
  Endpoint unknown;
  unknown.id = endpoint;
  const ListedEndpoint* e = list_.find(endpoint);
  const ClassVersion& rules = h.message.rules;
  return right_->begins(id, e ? e->endpoint : unknown, rules && rules->effect != Effect::unsafe);
}

void Host::stopAt(Micros at) {
  add(Stopping{at});
}

void Host::add(Event e) {
  events_.push_back(std::move(e));
  if (turn_due_ || suspended_)
    return;
  turn_due_ = true;
  const Micros due = last_turn_ + settings_.tick - monotonicNow();
  if (due <= 0) {
    asio::post(io_, [this] {
      if (turn_due_)
        turn();
    });
    return;
  }
  turn_timer_.expires_after(std::chrono::microseconds(due));
  turn_timer_.async_wait([this](const boost::system::error_code& e2) {
    if (!e2 && turn_due_)
      turn();
  });
}

void Host::turn() {
  turn_due_ = false;
  turn_timer_.cancel();
  last_turn_ = std::max(last_turn_ + 1, monotonicNow());
  std::vector<Event> events;
  events.swap(events_);
  telling_ = false;
  const std::vector<Action> actions = sender_.decide(last_turn_, events);
  if (tap_)
    tap_(last_turn_, events, actions);
  carryOut(actions);
  if (!telling_ && list_.pending())
    tellList(kListSlice, ListKind::delta);
}

// First the refusals of what has just come, then the journal, then all that it promises.
void Host::carryOut(const std::vector<Action>& actions) {
  for (const Action& a : actions) {
    if (const auto* r = std::get_if<Refuse>(&a))
      end(r->id, true, r->pause);
    if (const auto* f = std::get_if<Fail>(&a))
      end(f->id, false, 0);
    if (const auto* h = std::get_if<Ailment>(&a)) {
      Ailment kept = *h;
      shift(kept, unixNow() - last_turn_);
      journal_.ailing(kept);
      if (on_ailment_)
        on_ailment_();
    }
  }
  const std::set<std::string> refused = right_ && !right_->holds() ? refuseFresh() : std::set<std::string>();
  for (const std::string& id : fresh_)
    journal_.accepted(held_.at(id).message);
  struct Began {
    const Send* send;
    int attempt;
    std::uint32_t version;
  };
  std::vector<Began> sends;
  for (const Action& a : actions) {
    const auto* s = std::get_if<Send>(&a);
    if (!s)
      continue;
    auto it = held_.find(s->id);
    if (it == held_.end()) {
      if (refused.count(s->id))
        notSent(s->id, 0);
      continue;
    }
    const std::uint32_t version = right_ ? journal_.versionOf(right_->version()) : 0;
    journal_.attempted(s->id, {s->endpoint, unixNow(), false, version});
    sends.push_back({s, it->second.attempts++, version});
  }
  const bool kept = journal_.flush();
  if (!kept)
    log::write(log::Event::journal_write_failed);
  std::set<std::string> fresh;  // an answer may bring the next submission
  fresh.swap(fresh_);
  for (const std::string& id : fresh) {
    Held& h = held_.at(id);
    std::vector<Reply> replies;
    replies.swap(h.replies);
    if (!kept) {  // nothing is taken on that a restart would forget
      journal_.drop(id);
      held_.erase(id);
      add(Gone{id});
    }
    for (const Reply& reply : replies)
      reply(kept ? Answer::accepted() : Answer::refused(settings_.max_pause));
  }
  if (kept)
    announce();
  std::size_t next = 0;
  for (const Action& a : actions) {
    if (const auto* s = std::get_if<Send>(&a)) {
      if (next >= sends.size() || sends[next].send != s)
        continue;
      const auto [send, attempt, version] = sends[next++];
      auto it = held_.find(s->id);
      if (kept && mayBegin({s->id, attempt}, it->second, s->endpoint)) {
        transport_.call({it->second.message, attempt, s->endpoint, s->timeout,
                         s->write_within > 0 ? s->write_within : kNoWriteLimit,
                         right_ ? right_->stamp(version) : ""});
        continue;
      }
      notSent(s->id, attempt);
    } else if (const auto* c = std::get_if<Cancel>(&a)) {
      transport_.cancel(c->id, c->attempt);
    } else if (const auto* i = std::get_if<CloseIdle>(&a)) {
      transport_.closeIdle(i->endpoint);
    } else if (const auto* w = std::get_if<WakeIn>(&a)) {
      wakes_.insert((last_turn_ + w->span + kWakeGrain - 1) / kWakeGrain * kWakeGrain);
    }
  }
  wake();
  tellSurvey(actions);
}

// Guards against a message that is taken on by a process which may not act any more: it would stay with it.
std::set<std::string> Host::refuseFresh() {
  std::set<std::string> fresh;
  fresh.swap(fresh_);
  for (const std::string& id : fresh) {
    const std::vector<Reply> replies = std::move(held_.at(id).replies);
    held_.erase(id);
    add(Gone{id});
    for (const Reply& reply : replies)
      reply(Answer::refused(settings_.max_pause));
  }
  return fresh;
}

// The module counts it as out until it hears.
void Host::notSent(const std::string& id, int attempt) {
  Outcome o;
  o.id = id;
  o.attempt = attempt;
  o.result = Result::not_sent;
  outcome(std::move(o));
}

void Host::tellSurvey(const std::vector<Action>& actions) {
  const auto end = std::find_if(actions.begin(), actions.end(),
                                [](const Action& a) { return std::holds_alternative<Surveyed>(a); });
  if (end == actions.end() || !surveyed_)
    return;
  std::vector<knowledge::Known> known;
  for (const Action& a : actions)
    if (const auto* l = std::get_if<Lesson>(&a))
      known.push_back(shown(*l));
  Surveyed s = std::get<Surveyed>(*end);
  shift(s.pool, unixNow() - monotonicNow());
  const Learned then = std::move(surveyed_);
  surveyed_ = nullptr;
  then(std::move(known), s);
}

// The module has ended a message: the client hears it at once, or by a notice if it was taken on before.
void Host::end(const std::string& id, bool handed_back, Micros pause) {
  auto it = held_.find(id);
  if (it == held_.end())
    return;
  if (!it->second.replies.empty()) {
    const std::vector<Reply> replies = std::move(it->second.replies);
    fresh_.erase(id);
    held_.erase(it);
    Answer a = Answer::refused(pause);
    if (!handed_back)
      a.kind = Answer::Kind::given_up;
    for (const Reply& reply : replies)
      reply(a);
    return;
  }
  const End e{handed_back ? Ending::handed_back : Ending::given_up, unixNow(), pause};
  tellIfOrphaned(it->second.message, e);
  const Notice n{handed_back, (pause + 999) / 1000, e.at};
  journal_.noticeOwed(id, n);
  owed_[id] = {e, it->second.digest, 0};
  over(id, e);
  notices_.owe(id, n);
}

// Why it could not be delivered, where that is that the file or the list has no place for it any more.
void Host::tellIfOrphaned(const TakenOn& m, const End& end) const {
  const auto same = [&](const MessageClass& c) { return c.name == m.message_class; };
  const bool no_class = !m.rules && std::none_of(settings_.classes.begin(), settings_.classes.end(), same);
  if (!no_class && list_.lists(m.destination))
    return;
  log::write(log::Event::message_orphaned,
             {{"message", m.id},
              {"class", m.message_class},
              {"destination", m.destination},
              {"outcome", nameOf(end.how)},
              {"cause", no_class ? "its class is configured no more" : "its partner is listed no more"}});
}

// Guards against a second effect when the id of a message that was taken on comes again after its end: the
// journal remembers it.
void Host::over(const std::string& id, const End& end) {
  auto it = held_.find(id);
  if (log::on(log::Event::message_ended))
    log::write(log::Event::message_ended,
               {{"message", id}, {"outcome", nameOf(end.how)}, {"attempts", it->second.attempts}});
  ended_[id] = {end, std::move(it->second.watchers)};
  held_.erase(it);
  journal_.forgetPast(unixNow());
}

// Ends are on record now: whoever waits for one may hear it.
void Host::announce() {
  std::unordered_map<std::string, Ended> ended;
  ended.swap(ended_);
  for (const auto& [id, e] : ended)
    for (const auto& then : e.watchers)
      then(e.end);
}

void Host::wake() {
  if (wakes_.empty() || suspended_)
    return;
  wake_timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, *wakes_.begin() - monotonicNow())));
  wake_timer_.async_wait([this](const boost::system::error_code& e) {
    if (e || suspended_)
      return;
    const Micros now = monotonicNow();
    bool due = false;
    while (!wakes_.empty() && *wakes_.begin() <= now) {
      wakes_.erase(wakes_.begin());
      due = true;
    }
    if (due)
      add(Wake{});
    wake();
  });
}

}  // namespace grademux
