// Rereads the configuration file and the daemon file while the program runs, and applies what has changed. A
// file that can't be read or used leaves the configuration that it gave before in force, each file by itself.
// Used on the loop thread alone.
#pragma once

#include <string>

#include "sender_components.h"

namespace grademux {

class ConfigReloader {
 public:
  /// `components` outlives this object.
  explicit ConfigReloader(SenderComponents& components) : components_(components) {}

  /// Reloads now, or when this process has acquired the state folder.
  void requestReload();
  /// Carries out a reload that was requested before this process owned the state folder.
  void runPendingReload();
  /// Rereads both files. Errors are logged and reported to the fleet.
  void reload();

 private:
  void reloadPlatformConfig();
  Config loadPlatformConfig(std::string& needs_restart) const;
  void applyPlatformConfig(Config fresh);
  void reloadDaemonFile();
  void applyDaemonFile(DaemonFile fresh);
  void checkMode(const DaemonFile& fresh) const;
  void applyLogAndListeners(const DaemonFile& fresh);
  std::string retainUntilRestart(DaemonFile& fresh) const;
  void applyStandaloneConfig(StandaloneConfig& fresh, Config config);
  void applySettings(const Config& fresh);

  SenderComponents& components_;
  bool reload_pending_ = false;
  std::string rejection_;  // why a file could not be used at the last reload; empty: both files could
};

}  // namespace grademux
