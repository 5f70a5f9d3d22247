// grademux harness: a bare relay: the sender's own door and transport with nothing between, no decision and
// no journal. The limit that the sender's throughput is held against.
#pragma once

namespace grademux::harness {

int relay();  // configured by GW_CONFIG; runs until SIGTERM

}  // namespace grademux::harness
