// The admission step that replaces a partner's name in a submission by the number of its destination.
#pragma once

#include "../admission/admission.h"
#include "table.h"

namespace grademux {

class PartnerNames : public AdmissionStep {
 public:
  // `pause`: the Retry-After that a client receives while the partner has no endpoint yet.
  PartnerNames(const PartnerTable& table, Micros pause) : table_(table), pause_(pause) {}
  const char* name() const override { return "partners"; }
  void take(const std::shared_ptr<Submission>& s, Next next) override {
    if (s->destination_name.empty())
      return next(Verdict::pass());
    const Partner* p = table_.find(s->destination_name);
    if (!p)
      return next(Verdict::reject("unknown-destination", "unknown partner"));
    if (p->endpoints.empty())
      return next(Verdict::refuse(pause_));
    s->message.destination = p->number;
    s->destination_name.clear();
    next(Verdict::pass());
  }

 private:
  const PartnerTable& table_;
  Micros pause_;
};

}  // namespace grademux
