#include "journal_compaction.h"

#include "journal_frame.h"

namespace grademux {

namespace {

void appendEndpointList(std::string& data, const JournaledEndpointList& list) {
  if (list.index() < 0)
    return;
  EndpointChangesEncoder encoder(list.index(), list.index(), true,
                                 [&data](const std::string& payload) { appendFrame(data, payload); });
  for (const auto& [name, entry] : list.entries())
    encoder.add(name, entry);
  encoder.finish();
}

void appendFinishedMessages(std::string& data, const FinishedMessages& finished) {
  FinishedBatchEncoder encoder([&data](const std::string& payload) { appendFrame(data, payload); });
  for (const FinishedMessages::Item& item : finished.items())
    encoder.add(item.id, item.message);
  encoder.finish();
}

void appendVersions(std::string& data, const JournalState& state, const ReferencedVersions& referenced) {
  for (const auto& [number, text] : state.decisionVersions())
    if (referenced.decision_versions.count(number))
      appendFrame(data, encodeDecisionVersion(number, text));
  for (const std::int64_t number : referenced.class_versions)
    appendFrame(data, encodeClassVersion(number, *state.classVersions().find(number)));
}

void appendEntry(std::string& data, const JournalEntry& entry, const ClassVersionTable& class_versions) {
  const std::string& id = entry.message.id;
  appendFrame(data, encodeAccepted(entry.message, class_versions.numberOf(entry.message.class_version)));
  for (std::size_t i = 0; i < entry.attempts.size(); ++i) {
    appendFrame(data, encodeAttempt(id, entry.attempts[i]));
    if (entry.attempts[i].never_executed)
      appendFrame(data, encodeNeverExecuted(id, i));
  }
  if (entry.notice_pending)
    appendFrame(data, encodeNoticePending(id, entry.notice));
}

}  // namespace

std::string encodeCompacted(const JournalState& state, const ReferencedVersions& referenced,
                            std::size_t expected_bytes) {
  std::string data;
  data.reserve(expected_bytes);
  appendFrame(data, encodeEpoch(state.epoch()));
  appendEndpointList(data, state.endpointList());
  for (const auto& [key, health] : state.health())
    appendFrame(data, encodeHealth(health));
  for (const auto& [key, block] : state.orderingBlocks())
    appendFrame(data, encodeOrderingBlock(block));
  appendFinishedMessages(data, state.finished());
  appendVersions(data, state, referenced);
  for (const JournalEntry* entry : state.entriesInOrder())
    appendEntry(data, *entry, state.classVersions());
  return data;
}

}  // namespace grademux
