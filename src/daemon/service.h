// One running sender: connects its parts, and carries out signals and the operators' commands.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "config.h"
#include "daemon_file.h"

namespace grademux {

/// Recording of the decision module's input and output, for replay.
struct Recording {
  std::string path;              // empty: nothing is recorded
  std::uint64_t most_bytes = 0;  // recording ends when the file has this size
};

/// Runs until SIGTERM or SIGINT has been carried out. Throws std::exception when the sender can't start; if a
/// listener can't be bound, the journal is unchanged then.
void serve(boost::asio::io_context& io, boost::asio::signal_set& signals, Config config,
           DaemonFile daemon_file, const Recording& recording = {});

}  // namespace grademux
