// grademux: the one state of a process toward those outside: starting, serving, sent away by the operators
// (standby), stopping. ListenerSet, the operators' door and the daemon ask it; nobody keeps a flag of its
// own. No I/O and no clock. docs/operate/operators-door.md has the table of what is answered in each phase.
#pragma once

#include <string>
#include <string_view>

namespace grademux::operate {

enum class Phase {
  starting,  // the journal is read, or an earlier process still owns it
  serving,
  standby,  // clients are sent away, and those that come are still served
  fenced,   // by the fleet's plan: clients are sent away, and what comes is refused
  stopping  // for good: by SIGTERM, or since another process has taken over
};

inline const char* nameOf(Phase p) {
  constexpr const char* kNames[] = {"starting", "serving", "standby", "shut out", "stopping"};
  return kNames[static_cast<int>(p)];
}

struct CommandResult {
  bool ok = false;
  std::string reason;  // for people
};

enum class AdminCommand { status, standby, active };

// The call that one line names, without its end; false: none. Words are as the page of the platform has them.
inline bool parseAdminCommand(std::string_view line, AdminCommand& call) {
  if (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  if (line == "status")
    call = AdminCommand::status;
  else if (line == "standby")
    call = AdminCommand::standby;
  else if (line == "active")
    call = AdminCommand::active;
  else
    return false;
  return true;
}

class ServiceState {
 public:
  Phase phase() const {
    if (stopping_)
      return Phase::stopping;
    if (!ready_)
      return Phase::starting;
    if (shut_out_)
      return Phase::fenced;
    return standby_ ? Phase::standby : Phase::serving;
  }
  // Clients are to go elsewhere: PING says no, and connections end between requests.
  bool isDraining() const { return phase() > Phase::serving; }
  bool isStopping() const { return stopping_; }
  bool isStandby() const { return standby_; }  // was asked for, and not taken back

  // The journal is owned and read, and the doors accept.
  void setReady() { ready_ = true; }
  // By the fleet's plan, until it may act again.
  void fence(std::string why) {
    shut_out_ = true;
    shut_why_ = std::move(why);
  }
  void unfence() { shut_out_ = false; }
  // Never taken back.
  void stop(std::string why) {
    if (!stopping_)
      why_ = std::move(why);
    stopping_ = true;
  }
  // An earlier process was in standby, and this one takes its place.
  void inheritStandby() { standby_ = true; }

  // `listed`: a list of endpoints is known. What changes by the call is to be carried out by the caller, who
  // compares phase() before and after.
  CommandResult handleCommand(AdminCommand call, bool listed) {
    if (call == AdminCommand::status)
      return status(listed);
    if (stopping_)
      return {false, "stopping: " + why_};
    standby_ = call == AdminCommand::standby;
    if (!ready_)
      return {true, standby_ ? "standby, once it has started" : "active, once it has started"};
    return {true, standby_ ? "standby: clients are sent away" : "active"};
  }

 private:
  // Whether this process can serve, which it can in standby too.
  CommandResult status(bool listed) const {
    if (stopping_)
      return {false, "stopping: " + why_};
    if (!ready_)
      return {false, "starting"};
    if (shut_out_)
      return {false, "shut out: " + shut_why_};
    if (!listed)
      return {false, "no list of endpoints yet"};
    return {true, standby_ ? "standby" : "serving"};
  }

  bool ready_ = false, standby_ = false, shut_out_ = false, stopping_ = false;
  std::string why_, shut_why_;
};

}  // namespace grademux::operate
