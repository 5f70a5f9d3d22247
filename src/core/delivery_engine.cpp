// grademux: the host; see host.h.
#include "delivery_engine.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>

#include "../decision/class_versions.h"
#include "../knowledge/trust_decay.h"
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
void shift(DestinationHealth& a, Micros by) {
  a.warming_since += by;
  a.observed_at += by;
  shift(a.retry_after_until, by);
}
void shift(LearnedEndpoint& l, Micros by) {
  shift(l.last_outcome_at, by);
  shift(l.last_message_at, by);
}
void shift(LearnedPool& p, Micros by) {
  shift(p.last_outcome_at, by);
  shift(p.stale_observed_at, by);
}

}  // namespace

DeliveryEngine::DeliveryEngine(asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                               Transport& transport, DeliveryNotifier& notices)
    : io_(io),
      settings_(settings),
      classes_(decision::makeClassVersions(settings_)),
      sender_(std::move(settings), seed),
      journal_(journal),
      transport_(transport),
      notices_(notices),
      iteration_timer_(io),
      decision_timer_(io) {
  for (const MessageClass& c : settings_.classes)
    max_deadline_ = std::max(max_deadline_, c.deadline);
}

void DeliveryEngine::recover(const json& known, const knowledge::LearnedStateFile& learned,
                             const std::set<AttemptId>& out) {
  const RecoveredJournal& r = journal_.recovered();
  if (r.damaged_ranges > 0)
    log::write(log::Event::journal_damaged, {{"stretches", r.damaged_ranges}});
  if (r.torn_tail)
    log::write(log::Event::journal_tail_truncated);
  // The newer of the two lists: a drain that was heard before the restart still counts.
  json list = known;
  if (r.list_index >= 0 && (!list.is_object() || r.list_index >= number(list, "index", -1))) {
    json entries = json::array();
    for (const std::string& e : r.endpoint_list)
      entries.push_back(json::parse(e, nullptr, false));
    list = {{"index", r.list_index}, {"snapshot", true}, {"endpoints", std::move(entries)}};
  }
  if (list.is_object() && !list.empty()) {
    endpoint_list_.apply(parseEndpointList(list));
    forwardListSlice(SIZE_MAX, EndpointListKind::cached);
  }
  journal_.expireHealth(unixNow() - kAilmentAge);
  const Micros ahead = monotonicNow() - unixNow();
  restoreLearned(learned, ahead);
  for (DestinationHealth a : r.health) {
    if (!knowledge::decayed(a, unixNow(), settings_.slow_start_time))
      continue;
    shift(a, ahead);
    events_.push_back(a);
  }
  for (const JournalEntry& e : r.entries) {
    if (e.notice_pending) {
      const FinalStatus how = e.notice.returned ? FinalStatus::returned : FinalStatus::failed;
      pending_notifications_[e.message.id] = {
          {how, e.notice.at, e.notice.retry_after_ms * 1000}, contentDigest(e.message), 0};
      notices_.enqueueNotice(e.message.id, e.notice);
      continue;
    }
    OpenMessage& h = open_messages_[e.message.id];
    h.message = e.message;
    h.digest = contentDigest(e.message);
    h.attempts = static_cast<int>(e.attempts.size());
    RecoveredMessage m;
    m.message.id = e.message.id;
    m.message.message_class = e.message.message_class;
    m.message.ordering_key = e.message.ordering_key;
    m.message.destination = e.message.destination;
    m.message.deadline = e.message.deadline + ahead;
    m.message.resubmitted = true;
    m.class_version = e.message.class_version;
    if (m.class_version)
      max_deadline_ = std::max(max_deadline_, m.class_version->deadline);
    for (const JournaledAttempt& a : e.attempts) {
      const int attempt = static_cast<int>(m.attempts.size());
      m.attempts.push_back(
          {a.endpoint, a.sent_at + ahead, !a.never_executed, out.count({e.message.id, attempt}) > 0});
    }
    events_.push_back(std::move(m));
  }
  if (!r.entries.empty())
    log::write(log::Event::journal_resumed, {{"messages", r.entries.size()}});
  journal_.clearRecovered();
  if (!events_.empty())
    runIteration();
}

// What is known of an endpoint holds for the machine that it was learned of.
void DeliveryEngine::restoreLearned(const knowledge::LearnedStateFile& learned, Micros ahead) {
  const Micros now = unixNow();
  LearnedPool pool = knowledge::decayed(learned.pool, now);
  shift(pool, ahead);
  if (pool.latency_samples > 0 || pool.stale_connection_score > 0)
    events_.push_back(pool);
  for (const knowledge::LearnedRecord& k : learned.records) {
    const ListedEndpoint* listed =
        k.learned.endpoint.empty() ? nullptr : endpoint_list_.find(k.learned.endpoint);
    if (!k.learned.endpoint.empty() && (!listed || listed->address != k.address))
      continue;
    if (!endpoint_list_.lists(k.learned.destination))
      continue;
    LearnedEndpoint l = knowledge::decayed(k.learned, now);
    if (l.rate_limit <= 0 && l.samples == 0 && l.unknown_outcome_fraction <= 0 && l.message_rate <= 0)
      continue;
    shift(l, ahead);
    events_.push_back(std::move(l));
  }
}

knowledge::LearnedRecord DeliveryEngine::shown(const LearnedEndpoint& lesson) const {
  knowledge::LearnedRecord k{lesson, ""};
  shift(k.learned, unixNow() - monotonicNow());
  const ListedEndpoint* listed = lesson.endpoint.empty() ? nullptr : endpoint_list_.find(lesson.endpoint);
  if (listed)
    k.address = listed->address;
  return k;
}

void DeliveryEngine::exportLearned(std::int64_t after, int most, Learned then) {
  export_callback_ = std::move(then);
  enqueueEvent(ExportLearned{after, most});
}

knowledge::LearnedStateFile DeliveryEngine::learnedState() {
  knowledge::LearnedStateFile book;
  export_callback_ = [&](std::vector<knowledge::LearnedRecord> known, const LearnedExported& end) {
    book.records = std::move(known);
    book.pool = end.pool;
  };
  // One that was asked for and waits for its turn would tell the same once more.
  events_.erase(std::remove_if(events_.begin(), events_.end(),
                               [](const Event& e) { return std::holds_alternative<ExportLearned>(e); }),
                events_.end());
  events_.push_back(ExportLearned{INT64_MIN, INT32_MAX});
  runIteration();
  return book;
}

std::int64_t DeliveryEngine::onEndpointList(EndpointListAnswer answer) {
  endpoint_list_.apply(std::move(answer));
  if (suspended_)
    return endpoint_list_.index();
  if (!slice_pending_ && endpoint_list_.hasPending())
    forwardListSlice(kListSlice, EndpointListKind::delta);
  return endpoint_list_.index();
}

void DeliveryEngine::forwardListSlice(std::size_t most, EndpointListKind kind) {
  slice_pending_ = true;
  EndpointList::Slice s = endpoint_list_.next(most);
  EndpointListUpdate u;
  u.kind = s.whole && kind == EndpointListKind::delta ? EndpointListKind::snapshot : kind;
  std::vector<std::pair<std::string, std::string>> kept;
  for (EndpointChange& c : s.changes) {
    const Endpoint& e = c.entry.endpoint;
    transport_.cancelUnwritten(e.id);
    if (e.state == EndpointState::gone)
      transport_.removeEndpoint(e.id);
    else
      transport_.setAddress(e.id, c.entry.address);
    kept.emplace_back(e.id, std::move(c.text));
    u.endpoints.push_back(std::move(c.entry.endpoint));
    u.endpoints.back().state = shown(u.endpoints.back());
  }
  // Sends are made in turns alone, so none goes before the module has heard this.
  if (!journal_.recordEndpointList(kept, s.index, s.whole))
    log::write(log::Event::journal_list_too_large, {{"endpoints", endpoint_list_.size()}});
  const Micros now = monotonicNow();
  for (const std::int64_t d : s.unlisted) {
    unlisted_since_[d] = now;
    unlisted_order_.emplace_back(now, d);
  }
  for (; !unlisted_order_.empty() && now - unlisted_order_.front().first > max_deadline_;
       unlisted_order_.pop_front()) {
    const auto at = unlisted_since_.find(unlisted_order_.front().second);
    if (at != unlisted_since_.end() && at->second == unlisted_order_.front().first)
      unlisted_since_.erase(at);
  }
  enqueueEvent(std::move(u));
}

bool DeliveryEngine::knowsDestination(std::int64_t destination) const {
  if (endpoint_list_.lists(destination))
    return true;
  const auto left = unlisted_since_.find(destination);
  return left != unlisted_since_.end() && monotonicNow() - left->second <= max_deadline_;
}

void DeliveryEngine::submit(Submission s, SubmissionCallback reply) {
  if (suspended_)
    return reply(SubmissionResult::rejected(kHandover));
  if (closed_)
    return reply(SubmissionResult::rejected(settings_.max_retry_after));
  if (!s.destination_name.empty())
    return reply(SubmissionResult::invalid("unknown-destination", "unknown partner"));
  const AcceptedMessage& m = s.message;
  const auto cls = std::find_if(classes_.begin(), classes_.end(),
                                [&](const ClassVersion& c) { return c->name == m.message_class; });
  if (cls == classes_.end())
    return reply(SubmissionResult::invalid("unknown-class", "unknown class"));
  if ((*cls)->idempotency == Idempotency::idempotency_key && m.idempotency_key.empty())
    return reply(SubmissionResult::invalid("missing-key", "no k"));
  // The id first: what was taken on stays so, even if its destination is listed no more.
  const std::uint64_t digest = contentDigest(m);
  SubmissionResult known;
  if (auto it = open_messages_.find(m.id); it != open_messages_.end()) {
    if (it->second.digest != digest)
      known.kind = SubmissionResult::Kind::conflict;
    else if (!it->second.replies.empty())
      return it->second.replies.push_back(std::move(reply));
    return reply(known);
  }
  if (const FinishedMessage* past = findFinished(m.id)) {
    if (past->digest != (past->legacy_digest ? legacyContentDigest(m) : digest))
      known.kind = SubmissionResult::Kind::conflict;
    else if (!finished_unwritten_.count(m.id))
      known.final_outcome = past->outcome;
    return reply(known);
  }
  if (endpoint_list_.size() == 0 && unlisted_since_.empty())
    return reply(SubmissionResult::rejected(settings_.max_retry_after));
  if (!knowsDestination(m.destination))
    return reply(SubmissionResult::invalid("unknown-destination", "unknown destination"));
  s.message.class_version = *cls;
  if (!journal_.reserveSpace(m))
    return reply(SubmissionResult::rejected(settings_.max_retry_after));
  MessageArrival a;
  a.id = m.id;
  a.message_class = m.message_class;
  a.ordering_key = m.ordering_key;
  a.destination = m.destination;
  a.deadline = monotonicNow() + s.time_to_live;
  a.resubmitted = m.resubmitted;
  OpenMessage& h = open_messages_[m.id];
  h.message = std::move(s.message);
  h.message.deadline = unixNow() + s.time_to_live;
  h.digest = digest;
  h.replies.push_back(std::move(reply));
  new_arrivals_.insert(a.id);
  enqueueEvent(std::move(a));
}

const FinishedMessage* DeliveryEngine::findFinished(const std::string& id) const {
  const auto owed = pending_notifications_.find(id);
  return owed != pending_notifications_.end() ? &owed->second : journal_.findFinished(id);
}

MessageStatus DeliveryEngine::status(const std::string& id) const {
  MessageStatus s;
  const auto held = open_messages_.find(id);
  if (held != open_messages_.end()) {  // one that is not on record yet is not known
    if (held->second.replies.empty())
      s.state = MessageStatus::State::open;
    return s;
  }
  const FinishedMessage* past = findFinished(id);
  if (!past)
    return s;
  s.state = finished_unwritten_.count(id) ? MessageStatus::State::open : MessageStatus::State::finished;
  s.outcome = past->outcome;
  return s;
}

void DeliveryEngine::notifyWhenFinished(const std::string& id,
                                        std::function<void(const FinalOutcome&)> then) {
  const auto held = open_messages_.find(id);
  if (held != open_messages_.end())
    return held->second.watchers.push_back(std::move(then));
  const auto ended = finished_unwritten_.find(id);
  if (ended != finished_unwritten_.end())
    ended->second.watchers.push_back(std::move(then));
}

void DeliveryEngine::onAttemptFinished(AttemptOutcome o) {
  if (action_guard_)
    action_guard_->onAttemptFinished(o);
  auto it = open_messages_.find(o.id);
  if (it != open_messages_.end()) {
    if (o.already_finished) {
      const FinalOutcome end{o.result == AttemptResult::ok ? FinalStatus::delivered : FinalStatus::withdrawn,
                             unixNow(), 0};
      journal_.recordFinished(o.id, {end, it->second.digest, unixNow() + max_deadline_});
      recordFinalOutcome(o.id, end);
    } else if (o.result == AttemptResult::rejected || o.result == AttemptResult::connect_failed ||
               o.result == AttemptResult::not_sent) {
      journal_.recordNeverExecuted(o.id, static_cast<std::size_t>(o.attempt));
    }
  }
  enqueueEvent(std::move(o));
}

// Written with the next turn: until then a restart would tell it once more, which does no harm.
void DeliveryEngine::onNoticeDelivered(const std::string& id) {
  auto it = pending_notifications_.find(id);
  if (it == pending_notifications_.end())
    return;
  it->second.remember_until = unixNow() + max_deadline_;
  journal_.recordFinished(id, it->second);
  pending_notifications_.erase(it);
}

void DeliveryEngine::applySettings(Settings settings) {
  settings_ = std::move(settings);
  classes_ = decision::makeClassVersions(settings_);
  // Never less: ids of messages that came under a longer deadline may come again for as long.
  for (const MessageClass& c : settings_.classes)
    max_deadline_ = std::max(max_deadline_, c.deadline);
  enqueueEvent(SettingsChanged{settings_});
}

void DeliveryEngine::suspend() {
  if (iteration_due_ || !events_.empty())
    runIteration();
  if (!events_.empty())
    runIteration();  // calls that could not be written, say
  suspended_ = true;
  iteration_due_ = false;
  iteration_timer_.cancel();
  decision_timer_.cancel();
  journal_.release();
}

void DeliveryEngine::resume() {
  suspended_ = false;
  enqueueEvent(TimerFired{});
  if (!slice_pending_ && endpoint_list_.hasPending())
    forwardListSlice(kListSlice, EndpointListKind::delta);
  armTimer();
}

void DeliveryEngine::close() {
  if (closed_)
    return;
  closed_ = true;
  enqueueEvent(endpoint_list_.snapshot([this](const Endpoint& e) { return shown(e); }));
}

void DeliveryEngine::open() {
  if (!closed_)
    return;
  closed_ = false;
  enqueueEvent(endpoint_list_.snapshot([this](const Endpoint& e) { return shown(e); }));
}

void DeliveryEngine::setActionGuard(ActionGuard* right) {
  action_guard_ = right;
  if (right)
    endpoint_list_.snapshot(
        [right](const Endpoint& e) { return right->visibleState(e); });  // it knows all that is listed
}

EndpointState DeliveryEngine::shown(const Endpoint& e) const {
  const EndpointState state = action_guard_ ? action_guard_->visibleState(e) : e.state;
  return closed_ && state == EndpointState::ready ? EndpointState::draining : state;
}

void DeliveryEngine::refreshEndpoints(const std::vector<std::string>& endpoints) {
  EndpointListUpdate u;
  u.kind = EndpointListKind::delta;
  for (const std::string& id : endpoints)
    if (const ListedEndpoint* e = endpoint_list_.find(id)) {
      u.endpoints.push_back(e->endpoint);
      u.endpoints.back().state = shown(e->endpoint);
    }
  if (!u.endpoints.empty())
    enqueueEvent(std::move(u));
}

std::string DeliveryEngine::retryAfterScope(const std::string& endpoint) const {
  const ListedEndpoint* listed = endpoint_list_.find(endpoint);
  if (!listed)
    return "endpoint " + endpoint;
  const Endpoint& e = listed->endpoint;
  const auto kind = std::find_if(settings_.kinds.begin(), settings_.kinds.end(),
                                 [&](const DestinationKind& k) { return k.name == e.kind; });
  const bool apart = kind != settings_.kinds.end() && kind->has_separate_routes;
  return apart ? "endpoint " + endpoint : "destination " + std::to_string(e.destination);
}

bool DeliveryEngine::isAttemptAllowed(const AttemptId& id, const OpenMessage& h,
                                      const std::string& endpoint) {
  if (!action_guard_)
    return true;
  Endpoint unknown;
  unknown.id = endpoint;
  const ListedEndpoint* e = endpoint_list_.find(endpoint);
  const ClassVersion& rules = h.message.class_version;
  return action_guard_->admitAttempt(id, e ? e->endpoint : unknown,
                                     rules && rules->idempotency != Idempotency::non_idempotent);
}

void DeliveryEngine::scheduleStop(Micros at) {
  enqueueEvent(ShutdownScheduled{at});
}

void DeliveryEngine::enqueueEvent(Event e) {
  events_.push_back(std::move(e));
  if (iteration_due_ || suspended_)
    return;
  iteration_due_ = true;
  const Micros due = last_iteration_ + settings_.min_decide_interval - monotonicNow();
  if (due <= 0) {
    asio::post(io_, [this] {
      if (iteration_due_)
        runIteration();
    });
    return;
  }
  iteration_timer_.expires_after(std::chrono::microseconds(due));
  iteration_timer_.async_wait([this](const boost::system::error_code& e2) {
    if (!e2 && iteration_due_)
      runIteration();
  });
}

void DeliveryEngine::runIteration() {
  iteration_due_ = false;
  iteration_timer_.cancel();
  last_iteration_ = std::max(last_iteration_ + 1, monotonicNow());
  std::vector<Event> events;
  events.swap(events_);
  slice_pending_ = false;
  const std::vector<Action> actions = sender_.decide(last_iteration_, events);
  if (observer_)
    observer_(last_iteration_, events, actions);
  applyActions(actions);
  if (!slice_pending_ && endpoint_list_.hasPending())
    forwardListSlice(kListSlice, EndpointListKind::delta);
}

// First the refusals of what has just come, then the journal, then all that it promises.
void DeliveryEngine::applyActions(const std::vector<Action>& actions) {
  for (const Action& a : actions) {
    if (const auto* r = std::get_if<RejectMessage>(&a))
      finishMessage(r->id, true, r->retry_after);
    if (const auto* f = std::get_if<FailMessage>(&a))
      finishMessage(f->id, false, 0);
    if (const auto* h = std::get_if<DestinationHealth>(&a)) {
      DestinationHealth kept = *h;
      shift(kept, unixNow() - last_iteration_);
      journal_.recordHealth(kept);
      if (on_health_changed_)
        on_health_changed_();
    }
  }
  const std::set<std::string> refused =
      action_guard_ && !action_guard_->isActionAllowed() ? rejectNewArrivals() : std::set<std::string>();
  for (const std::string& id : new_arrivals_)
    journal_.recordAccepted(open_messages_.at(id).message);
  struct Began {
    const StartAttempt* send;
    int attempt;
    std::uint32_t version;
  };
  std::vector<Began> sends;
  for (const Action& a : actions) {
    const auto* s = std::get_if<StartAttempt>(&a);
    if (!s)
      continue;
    auto it = open_messages_.find(s->id);
    if (it == open_messages_.end()) {
      if (refused.count(s->id))
        reportNotSent(s->id, 0);
      continue;
    }
    const std::uint32_t version = action_guard_ ? journal_.versionOf(action_guard_->version()) : 0;
    journal_.recordAttempt(s->id, {s->endpoint, unixNow(), false, version});
    sends.push_back({s, it->second.attempts++, version});
  }
  const bool kept = journal_.flush().has_value();
  if (!kept)
    log::write(log::Event::journal_write_failed);
  std::set<std::string> fresh;  // an answer may bring the next submission
  fresh.swap(new_arrivals_);
  for (const std::string& id : fresh) {
    OpenMessage& h = open_messages_.at(id);
    std::vector<SubmissionCallback> replies;
    replies.swap(h.replies);
    if (!kept) {  // nothing is taken on that a restart would forget
      journal_.dropUnwritten(id);
      open_messages_.erase(id);
      enqueueEvent(MessageWithdrawn{id});
    }
    for (const SubmissionCallback& reply : replies)
      reply(kept ? SubmissionResult::accepted() : SubmissionResult::rejected(settings_.max_retry_after));
  }
  if (kept)
    publishFinished();
  std::size_t next = 0;
  for (const Action& a : actions) {
    if (const auto* s = std::get_if<StartAttempt>(&a)) {
      if (next >= sends.size() || sends[next].send != s)
        continue;
      const auto [send, attempt, version] = sends[next++];
      auto it = open_messages_.find(s->id);
      if (kept && isAttemptAllowed({s->id, attempt}, it->second, s->endpoint)) {
        transport_.startAttempt({it->second.message, attempt, s->endpoint, s->timeout,
                                 s->write_within > 0 ? s->write_within : kNoWriteLimit,
                                 action_guard_ ? action_guard_->versionStamp(version) : ""});
        continue;
      }
      reportNotSent(s->id, attempt);
    } else if (const auto* c = std::get_if<CancelAttempt>(&a)) {
      transport_.cancelAttempt(c->id, c->attempt);
    } else if (const auto* i = std::get_if<CloseIdleConnections>(&a)) {
      transport_.closeIdleConnections(i->endpoint);
    } else if (const auto* w = std::get_if<SetTimer>(&a)) {
      timers_.insert((last_iteration_ + w->delay + kWakeGrain - 1) / kWakeGrain * kWakeGrain);
    }
  }
  armTimer();
  completeExport(actions);
}

// Guards against a message that is taken on by a process which may not act any more: it would stay with it.
std::set<std::string> DeliveryEngine::rejectNewArrivals() {
  std::set<std::string> fresh;
  fresh.swap(new_arrivals_);
  for (const std::string& id : fresh) {
    const std::vector<SubmissionCallback> replies = std::move(open_messages_.at(id).replies);
    open_messages_.erase(id);
    enqueueEvent(MessageWithdrawn{id});
    for (const SubmissionCallback& reply : replies)
      reply(SubmissionResult::rejected(settings_.max_retry_after));
  }
  return fresh;
}

// The module counts it as out until it hears.
void DeliveryEngine::reportNotSent(const std::string& id, int attempt) {
  AttemptOutcome o;
  o.id = id;
  o.attempt = attempt;
  o.result = AttemptResult::not_sent;
  onAttemptFinished(std::move(o));
}

void DeliveryEngine::completeExport(const std::vector<Action>& actions) {
  const auto end = std::find_if(actions.begin(), actions.end(),
                                [](const Action& a) { return std::holds_alternative<LearnedExported>(a); });
  if (end == actions.end() || !export_callback_)
    return;
  std::vector<knowledge::LearnedRecord> known;
  for (const Action& a : actions)
    if (const auto* l = std::get_if<LearnedEndpoint>(&a))
      known.push_back(shown(*l));
  LearnedExported s = std::get<LearnedExported>(*end);
  shift(s.pool, unixNow() - monotonicNow());
  const Learned then = std::move(export_callback_);
  export_callback_ = nullptr;
  then(std::move(known), s);
}

// The module has ended a message: the client hears it at once, or by a notice if it was taken on before.
void DeliveryEngine::finishMessage(const std::string& id, bool handed_back, Micros pause) {
  auto it = open_messages_.find(id);
  if (it == open_messages_.end())
    return;
  if (!it->second.replies.empty()) {
    const std::vector<SubmissionCallback> replies = std::move(it->second.replies);
    new_arrivals_.erase(id);
    open_messages_.erase(it);
    SubmissionResult a = SubmissionResult::rejected(pause);
    if (!handed_back)
      a.kind = SubmissionResult::Kind::failed;
    for (const SubmissionCallback& reply : replies)
      reply(a);
    return;
  }
  const FinalOutcome e{handed_back ? FinalStatus::returned : FinalStatus::failed, unixNow(), pause};
  logIfOrphaned(it->second.message, e);
  const Notice n{handed_back, (pause + 999) / 1000, e.at};
  journal_.recordNoticePending(id, n);
  pending_notifications_[id] = {e, it->second.digest, 0};
  recordFinalOutcome(id, e);
  notices_.enqueueNotice(id, n);
}

// Why it could not be delivered, where that is that the file or the list has no place for it any more.
void DeliveryEngine::logIfOrphaned(const AcceptedMessage& m, const FinalOutcome& end) const {
  const auto same = [&](const MessageClass& c) { return c.name == m.message_class; };
  const bool no_class =
      !m.class_version && std::none_of(settings_.classes.begin(), settings_.classes.end(), same);
  if (!no_class && endpoint_list_.lists(m.destination))
    return;
  log::write(log::Event::message_orphaned,
             {{"message", m.id},
              {"class", m.message_class},
              {"destination", m.destination},
              {"outcome", nameOf(end.status)},
              {"cause", no_class ? "its class is configured no more" : "its partner is listed no more"}});
}

// Guards against a second effect when the id of a message that was taken on comes again after its end: the
// journal remembers it.
void DeliveryEngine::recordFinalOutcome(const std::string& id, const FinalOutcome& end) {
  auto it = open_messages_.find(id);
  if (log::on(log::Event::message_finished))
    log::write(log::Event::message_finished,
               {{"message", id}, {"outcome", nameOf(end.status)}, {"attempts", it->second.attempts}});
  finished_unwritten_[id] = {end, std::move(it->second.watchers)};
  open_messages_.erase(it);
  journal_.expireFinished(unixNow());
}

// Ends are on record now: whoever waits for one may hear it.
void DeliveryEngine::publishFinished() {
  std::unordered_map<std::string, Ended> ended;
  ended.swap(finished_unwritten_);
  for (const auto& [id, e] : ended)
    for (const auto& then : e.watchers)
      then(e.end);
}

void DeliveryEngine::armTimer() {
  if (timers_.empty() || suspended_)
    return;
  decision_timer_.expires_after(
      std::chrono::microseconds(std::max<Micros>(0, *timers_.begin() - monotonicNow())));
  decision_timer_.async_wait([this](const boost::system::error_code& e) {
    if (e || suspended_)
      return;
    const Micros now = monotonicNow();
    bool due = false;
    while (!timers_.empty() && *timers_.begin() <= now) {
      timers_.erase(timers_.begin());
      due = true;
    }
    if (due)
      enqueueEvent(TimerFired{});
    armTimer();
  });
}

}  // namespace grademux
