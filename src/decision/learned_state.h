// grademux, decision: recall. Gives out what was learned and takes it back in. Like retention.h it decides
// nothing, and so is not among the policy files: how far old knowledge is trusted is decided in
// src/knowledge/ageing.h, what follows from it in the sections.
#pragma once

#include "endpoint_table.h"

namespace grademux::decision {

struct LearnedState : EndpointTable {
  using EndpointTable::EndpointTable;
  void exportLearned(const TargetState& target, const std::string& endpoint, const Destination& destination);

  void onExportLearned(const ExportLearned& request);

  // What this process has learned already counts more.
  void onLearnedEndpoint(const LearnedEndpoint& learned);

  void onLearnedPool(const LearnedPool& pool);
};

}  // namespace grademux::decision
