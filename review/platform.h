// The platform's side of one sender: its folder, configuration and environment.
#pragma once

#include "rig.h"

namespace rig {

struct Deployment {
  Discovery& discovery;
  int listener;  // held by the platform and passed to each process
  int port;
  json config;

  Deployment(Discovery& agent, json settings, json limits)
      : discovery(agent), listener(listenAt(0, 1024)), port(portOf(listener)) {
    ::mkdir((work_folder + "/state").c_str(), 0755);
    config = {{"name", "n1"},
              {"listen", "127.0.0.1:" + std::to_string(port)},
              {"discovery", discovery.address()},
              {"seed", "8c1f30d27a5be964"},
              {"limits", std::move(limits)},
              {"known", discovery.snapshot()},
              {"settings", std::move(settings)}};
    writeConfig();
  }
  void writeConfig() const { writeFile(work_folder + "/config.json", config.dump()); }
  std::vector<std::string> variables(int management_port) const {
    return {"GW_NAME=n1",
            "GW_LISTEN=127.0.0.1:" + std::to_string(port),
            "GW_DISCOVERY=" + discovery.address(),
            "GW_STATE=" + work_folder + "/state",
            "GW_CONFIG=" + work_folder + "/config.json",
            "GW_MGMT=127.0.0.1:" + std::to_string(management_port),
            "GW_PASSED_SOCKET=7"};
  }
  // Starts a process of the sender and waits until it says yes.
  void start(SenderProcess& process, const std::string& log) const {
    const int management = freePort();
    process.start(variables(management), log, listener);
    for (const double until = nowMs() + 6000; nowMs() < until; sleepMs(10)) {
      const std::string answer = manage(management, "status");
      if (answer.rfind("ACK", 0) == 0)
        return note("process " + std::to_string(process.pid()) + " answers status: " + answer);
      if (process.hasEnded())
        break;
    }
    cannotRun("a process of the sender does not become ready");
  }
};

inline std::string idOf(const char* prefix, int number) {
  char id[20];
  std::snprintf(id, sizeof id, "%s%0*x", prefix, static_cast<int>(16 - std::strlen(prefix)), number);
  return id;
}

}  // namespace rig
