// `grademux_sender fleet audit`: which sender acted by which versions, and when.
#include <stdexcept>

#include "../../audit/command.h"
#include "fleet_command.h"

namespace grademux {

namespace {

audit::SenderSummary summarize(const fleet::SenderReport& report) {
  audit::SenderSummary summary{
      report.name, report.compliance, report.reason, toJson(report.versions), report.at, report.live, {}};
  for (const fleet::ActionPeriod& period : report.action_history)
    summary.action_history.push_back({period.from, period.plan, period.allowed});
  return summary;
}

class FleetAuditCommand : public FleetCommand {
 public:
  explicit FleetAuditCommand(CLI::App& fleet_app)
      : app_(*addStoreCommand(
            fleet_app, "audit",
            "which sender acted by which versions, from audit logs and journals, also of running senders, "
            "and from the reports in the store")) {
    app_.add_option("FOLDER", query_.folders, "state folders of senders");
    app_.add_option("--at", at_,
                    "compliance of each sender at 2026-12-01T10:00:00Z, or at seconds since 1970");
    app_.add_option("--message", query_.message,
                    "the versions by which the attempts of this message were decided");
    app_.add_option("--version", query_.plan, "the senders that adopted this plan, and when");
    app_.add_option("--sender", query_.sender, "shows this sender alone");
    app_.add_flag("--gaps", query_.gaps, "shows only what neither audit logs nor reports cover");
    app_.add_flag("--json", query_.as_json, "prints one JSON object per line");
  }

  bool isSelected() const override { return app_.parsed(); }

 protected:
  int execute() override {
    parseTime();
    if (isStoreGiven())
      readReports();
    else if (query_.folders.empty())
      throw std::runtime_error("state folders, --store or --daemon are expected");
    return audit::audit(query_);
  }

 private:
  void parseTime() {
    if (at_.empty())
      return;
    query_.at = audit::readTime(at_);
    if (!query_.at)
      throw std::runtime_error("--at: 2026-12-01T10:00:00Z or seconds since 1970 are expected, not " + at_);
  }

  void readReports() {
    resolveStore();
    for (const fleet::SenderReport& report : fleet::reports(store_))
      query_.reports.push_back(summarize(report));
  }

  CLI::App& app_;
  std::string at_;
  audit::AuditQuery query_;
};

}  // namespace

std::unique_ptr<Command> makeFleetAuditCommand(CLI::App& fleet_app) {
  return std::make_unique<FleetAuditCommand>(fleet_app);
}

}  // namespace grademux
