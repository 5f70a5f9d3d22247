// `grademux_sender check`: checks a daemon file and its partner files.
#include <algorithm>
#include <iostream>
#include <string>

#include "../../membership/partners.h"
#include "../daemon_file.h"
#include "command.h"

namespace grademux {

namespace {

/// Reads partner files as a start does, and prints mistakes and conflicts between them.
class PartnerSourceCheck {
 public:
  explicit PartnerSourceCheck(const SourcesSpec& sources) : sources_(sources) {}

  /// False when anything was printed.
  bool run() {
    table_.declare("daemon file", sources_.partners);
    for (const FolderSpec& folder : sources_.folders)
      checkFolder(folder);
    for (const PartnerTable::Conflict& conflict : table_.takeChanges().conflicts)
      report(describe(conflict));
    return succeeded_;
  }

  std::size_t partnerCount() const { return table_.partners(); }

 private:
  void checkFolder(const FolderSpec& folder) {
    bool unsettled = false;
    FolderChanges scan = FolderReader(folder, sources_.defaults).scan(false, unsettled);
    if (!scan.unreadable.empty())
      report(folder.path + ": " + scan.unreadable);
    for (UnitChange& change : scan.changes) {
      for (const Mistake& mistake : change.mistakes)
        report(mistake.format(change.unit));
      if (change.mistakes.empty())
        table_.declare(change.unit, std::move(change.partners));
    }
  }

  static std::string describe(const PartnerTable::Conflict& conflict) {
    const std::string partner = conflict.unit + ": partner " + conflict.partner;
    if (conflict.endpoint.empty())
      return partner + " or its number is also in " + conflict.owner;
    return partner + ": " + conflict.endpoint + " is an endpoint of " + conflict.owner;
  }

  void report(const std::string& line) {
    std::cout << line << '\n';
    succeeded_ = false;
  }

  const SourcesSpec& sources_;
  PartnerTable table_;
  bool succeeded_ = true;
};

void printEffective(const DaemonFile& file, const std::string& path) {
  const auto assignment = [](const EffectiveValue& value) { return value.key + " = " + value.value; };
  std::size_t width = 0;
  for (const EffectiveValue& value : file.effective)
    width = std::max(width, assignment(value).size());
  for (const EffectiveValue& value : file.effective) {
    const std::string line = assignment(value);
    const std::string origin = value.line > 0 ? path + ":" + std::to_string(value.line) : "default";
    std::cout << line << std::string(width - line.size() + 2, ' ') << "# " << origin << '\n';
  }
}

void printSummary(const DaemonFile& file, const std::string& path, std::size_t partners) {
  std::cout << path << ": good, " << file.listeners.size() << " doors";
  if (file.standalone)
    std::cout << ", " << file.standalone->settings.classes.size() << " classes, " << partners << " partners";
  std::cout << '\n';
}

class CheckCommand : public Command {
 public:
  explicit CheckCommand(CLI::App& app)
      : app_(*app.add_subcommand("check", "checks a daemon file: a line for each mistake, exit status 2")) {
    app_.add_option("FILE", path_, "the daemon file")->required();
    app_.add_flag("--effective", print_effective_, "prints every value in force and where it comes from");
  }

  bool isSelected() const override { return app_.parsed(); }

  int run() override {
    std::vector<Mistake> mistakes;
    const DaemonFile file = readDaemonFile(path_, mistakes);
    for (const Mistake& mistake : mistakes)
      std::cout << mistake.format(path_) << '\n';
    const SourcesSpec sources = file.standalone ? file.standalone->sources : SourcesSpec{};
    PartnerSourceCheck source_check(sources);
    const bool sources_are_good = !file.standalone || source_check.run();
    if (!mistakes.empty() || !sources_are_good)
      return kExitUnusable;
    if (print_effective_)
      printEffective(file, path_);
    else
      printSummary(file, path_, source_check.partnerCount());
    return 0;
  }

 private:
  CLI::App& app_;
  std::string path_;
  bool print_effective_ = false;
};

}  // namespace

std::unique_ptr<Command> makeCheckCommand(CLI::App& app) {
  return std::make_unique<CheckCommand>(app);
}

}  // namespace grademux
