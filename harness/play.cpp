// grademux harness: a small world that stays up: partners whose behaviour is chosen by keys, a sender that
// stands alone by a file which is written for it, its doors with lines to paste, and one line each second.
#include <fcntl.h>
#include <poll.h>
#include <termios.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>

#include "../src/core/clock.h"
#include "scenarios.h"
#include "test_environment.h"

namespace grademux::harness {

namespace {

constexpr Micros kSecond = 1'000'000, kLook = 100'000;
constexpr int kLongest = 8 * 3600;  // seconds
const std::vector<std::string> kNames{"print-shop", "bank", "studio"};

volatile std::sig_atomic_t interrupted = 0;

// Keys as they are pressed; the terminal is as it was afterwards. From a pipe they come as they are written.
class Keys {
 public:
  Keys() : terminal_(::isatty(STDIN_FILENO) != 0) {
    if (!terminal_ || ::tcgetattr(STDIN_FILENO, &before_) != 0)
      return;
    termios raw = before_;
    raw.c_lflag &= ~static_cast<tcflag_t>(ICANON | ECHO);
    changed_ = ::tcsetattr(STDIN_FILENO, TCSANOW, &raw) == 0;
  }
  ~Keys() {
    if (changed_)
      ::tcsetattr(STDIN_FILENO, TCSANOW, &before_);
  }
  bool next(char& key) {
    pollfd p{STDIN_FILENO, POLLIN, 0};
    if (over_ || ::poll(&p, 1, 0) <= 0)
      return false;
    over_ = ::read(STDIN_FILENO, &key, 1) != 1;
    return !over_;
  }

 private:
  bool terminal_, changed_ = false, over_ = false;
  termios before_{};
};

struct Mode {
  char key;
  const char *name, *what;
};
constexpr Mode kModes[] = {{'g', "good", "answers in 5 ms"},
                           {'s', "slow", "answers in 2 s"},
                           {'d', "dead", "refuses connections"},
                           {'f', "full", "answers 503"},
                           {'e', "failing", "answers 500, may have run"},
                           {'r', "draining", "listed as draining: nothing new"}};

class Stage {
 public:
  explicit Stage(TestEnvironment& w) : w_(w), modes_(kNames.size(), &kModes[0]) {
    w_.setDaemonText([this] { return partners(); });
  }
  void press(char key) {
    if (key >= '0' && key < '0' + static_cast<int>(kNames.size())) {
      chosen_ = static_cast<std::size_t>(key - '0');
      return;
    }
    const auto* mode =
        std::find_if(std::begin(kModes), std::end(kModes), [&](const Mode& m) { return m.key == key; });
    if (mode == std::end(kModes))
      return;
    const Mode* before = modes_[chosen_];
    modes_[chosen_] = mode;
    w_.onStandIns([&] {
      EndpointStandIn& e = w_.endpoint(chosen_);
      EndpointBehaviour b;
      b.open_to_all = true;
      b.service = key == 's' ? 2 * kSecond : 5000;
      b.shut = key == 'f';
      b.fail = key == 'e' ? 1 : 0;
      e.behaviour = b;
      e.refuse(key == 'd');
    });
    if ((before->key == 'r') != (key == 'r')) {
      w_.writeDaemonFile();
      w_.child().signal(SIGHUP);
    }
  }
  std::string line() {
    std::string all;
    for (std::size_t i = 0; i < kNames.size(); ++i)
      all += (i ? "   " : "") + std::string(i == chosen_ ? "*" : " ") + std::to_string(i) + " " + kNames[i] +
             " " + modes_[i]->name + " " + std::to_string(w_.endpoint(i).calls()) + " calls";
    return all + "   journal " + std::to_string(w_.journalBytes()) + " B";
  }

 private:
  std::string partners() {
    std::string text;
    for (std::size_t i = 0; i < kNames.size(); ++i) {
      const std::string address = "[\"" + w_.endpoint(i).address() + "\"]\n";
      text += "[[partner]]\nname = \"" + kNames[i] + "\"\nendpoints = " + address +
              (modes_[i]->key == 'r' ? "draining = " + address : "");
    }
    return text;
  }
  TestEnvironment& w_;
  std::vector<const Mode*> modes_;
  std::size_t chosen_ = 0;
};

}  // namespace

json play(const Options& o) {
  EnvironmentConfig shape;
  shape.alone = true;
  shape.destinations = static_cast<int>(kNames.size());
  shape.endpoints_each = 1;
  shape.names = kNames;
  shape.behaviour.service = 5000;
  shape.behaviour.open_to_all = true;
  TestEnvironment w(o.sender, o.seed, shape);
  Stage stage(w);
  w.start();
  const std::string http = "localhost:" + std::to_string(w.httpPort());
  std::cout
      << "The sender runs by " << w.daemonFile() << ", with classes status, order and payment.\n\n"
      << "HTTP door:\n  curl -X PUT " << http
      << "/v1/messages/1 -H 'Content-Type: application/json' -H 'Prefer: wait=10' \\\n"
         "    -d "
         "'{\"class\":\"status\",\"destination\":\"print-shop\",\"deadline_ms\":20000,\"body\":\"hello\"}'\n"
      << "  curl " << http << "/v1/messages/1\n\nRESP2 door:\n  redis-cli -p " << w.respPort()
      << " MSG.PUT 0 2 c=status,d=20000,dest=bank hello\n  redis-cli -p " << w.respPort()
      << " MSG.WAIT 2 10000\n\nKeys: a partner's number, then";
  for (const Mode& m : kModes)
    std::cout << "\n  " << m.key << "  " << m.name << ": " << m.what;
  std::cout << "\nCtrl-C ends it. " << (o.rate > 0 ? "" : "(--rate N: messages of its own, so many a second)")
            << "\n\n"
            << std::flush;
  interrupted = 0;
  std::signal(SIGINT, [](int) { interrupted = 1; });
  {
    Keys keys;
    const Micros until = monotonicNow() + (o.seconds_given ? o.seconds : kLongest) * kSecond;
    Micros next_line = 0;
    while (!interrupted && monotonicNow() < until) {
      for (char key; keys.next(key);)
        stage.press(key);
      w.load(o.rate, kLook, {Via::resp, Via::http});
      if (monotonicNow() < next_line)
        continue;
      next_line = monotonicNow() + kSecond;
      std::cout << stage.line() << '\n' << std::flush;
    }
  }
  std::signal(SIGINT, SIG_DFL);
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    stage.press(static_cast<char>('0' + i));
    if (!interrupted)
      stage.press('g');  // what is held has its end
  }
  return finished(w, [&] { return json{{"rate", o.rate}, {"answers", doors(w)}}; });
}

}  // namespace grademux::harness
