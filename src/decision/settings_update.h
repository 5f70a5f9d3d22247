// Applies a change of settings at run time: all modules use the new settings from the event on. Open messages
// keep the class version under which they were accepted.
#pragma once

#include "endpoint_table.h"
#include "fair_queue.h"
#include "message_table.h"

namespace grademux::decision {

class SettingsUpdate {
 public:
  SettingsUpdate(DecisionContext& context, EndpointTable& endpoint_table, FairQueue& fair_queue,
                 MessageTable& messages)
      : context_(context), endpoint_table_(endpoint_table), fair_queue_(fair_queue), messages_(messages) {}

  void onSettingsChanged(const SettingsChanged& change);

 private:
  DecisionContext& context_;
  EndpointTable& endpoint_table_;
  FairQueue& fair_queue_;
  MessageTable& messages_;
};

}  // namespace grademux::decision
