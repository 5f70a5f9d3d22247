// `grademux_sender knowledge`: shows or removes the learned state of a state folder.
#include <charconv>
#include <optional>
#include <string>

#include "../../knowledge/command.h"
#include "../../membership/partners.h"
#include "command.h"

namespace grademux {

namespace {

// Names of partners begin with no digit, so that a number is always a destination's number.
std::optional<std::int64_t> destinationNumber(const std::string& destination) {
  if (destination.empty())
    return std::nullopt;
  std::int64_t number = 0;
  const char* end = destination.data() + destination.size();
  const auto [rest, error] = std::from_chars(destination.data(), end, number);
  const bool is_number = error == std::errc() && rest == end;
  return is_number ? number : numberOfName(destination);
}

class KnowledgeCommand : public Command {
 public:
  explicit KnowledgeCommand(CLI::App& app)
      : app_(*app.add_subcommand("knowledge", "what a sender has learned about its destinations")) {
    show_ = app_.add_subcommand("show", "prints the learned state, and how far it is still trusted");
    show_->add_option("FOLDER", folder_, "the folder of the journal")->required();
    show_->add_flag("--json", as_json_, "as one JSON object");
    forget_ = app_.add_subcommand("forget", "removes the learned state; a running sender writes it again");
    forget_->add_option("FOLDER", folder_, "the folder of the journal")->required();
    forget_->add_option("--destination", destination_,
                        "a partner's name or a destination's number (default: all)");
    app_.require_subcommand(1);
  }

  bool isSelected() const override { return app_.parsed(); }

  int run() override {
    if (show_->parsed())
      return knowledge::show(folder_, as_json_);
    return knowledge::forget(folder_, destinationNumber(destination_));
  }

 private:
  CLI::App& app_;
  CLI::App* show_ = nullptr;
  CLI::App* forget_ = nullptr;
  std::string folder_, destination_;
  bool as_json_ = false;
};

}  // namespace

std::unique_ptr<Command> makeKnowledgeCommand(CLI::App& app) {
  return std::make_unique<KnowledgeCommand>(app);
}

}  // namespace grademux
