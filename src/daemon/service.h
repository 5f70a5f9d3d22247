// grademux: one running sender: wires the parts together, and carries out signals.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "config.h"
#include "daemon_file.h"

namespace grademux {

struct Recording {
  std::string path;  // empty: none
  std::uint64_t most_bytes = 0;
};

// Runs until SIGTERM or SIGINT has been carried out. Throws std::exception saying what is wrong when it can't
// begin; the journal is untouched then if a door can't be bound.
void serve(boost::asio::io_context& io, boost::asio::signal_set& signals, Config config, DaemonFile daemon,
           const Recording& recording = {});

}  // namespace grademux
