// `grademux_sender init`: writes a first daemon file.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "../site.h"
#include "command.h"

namespace grademux {

namespace {

constexpr const char* kFileName = "grademux.toml";

void printNextSteps(const std::string& path) {
  std::cout << "wrote " << path << "; next:\n  grademux_sender run --daemon " << path
            << "\n  curl -X PUT localhost:8080/v1/messages/1 -H 'Content-Type: application/json' \\\n"
               "    -d '{\"class\":\"notice\",\"destination\":\"print-shop\",\"deadline_ms\":60000,"
               "\"body\":\"hello\"}'\n";
}

class InitCommand : public Command {
 public:
  explicit InitCommand(CLI::App& app)
      : app_(*app.add_subcommand("init", "writes a first daemon file, FOLDER/grademux.toml")) {
    app_.add_option("FOLDER", folder_, "created if missing (default: .)");
  }

  bool isSelected() const override { return app_.parsed(); }

  int run() override {
    const std::filesystem::path path = std::filesystem::path(folder_) / kFileName;
    std::error_code error;
    std::filesystem::create_directories(folder_, error);
    if (std::filesystem::exists(path, error)) {
      std::cerr << "grademux: " << path.string() << " exists already and is left unchanged\n";
      return kExitUnusable;
    }
    std::ofstream out(path);
    if (!(out << starter_file) || !out.flush()) {
      std::cerr << "grademux: " << path.string() << " can't be written\n";
      return kExitUnusable;
    }
    printNextSteps(path.string());
    return 0;
  }

 private:
  CLI::App& app_;
  std::string folder_ = ".";
};

}  // namespace

std::unique_ptr<Command> makeInitCommand(CLI::App& app) {
  return std::make_unique<InitCommand>(app);
}

}  // namespace grademux
