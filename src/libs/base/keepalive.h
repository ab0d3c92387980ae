#ifndef DAMASKHOLLOW_BASE_KEEPALIVE_H_
#define DAMASKHOLLOW_BASE_KEEPALIVE_H_

#include <chrono>

namespace damaskhollow {

// TCP keep-alive for a connection on which nothing may be due for a long time. After `probe_delay`
// without a segment from the peer, probes are sent, which carry no data. The connection breaks when
// `max_lost_probes` in a row remain unanswered, or when sent data is not acknowledged for the same
// time.
struct KeepAlive {
  std::chrono::seconds probe_delay{1};
  std::chrono::seconds probe_interval{1};
  int max_lost_probes = 2;

  // How long after the last segment from the peer the connection breaks.
  std::chrono::milliseconds BreaksAfter() const {
    return probe_delay + probe_interval * max_lost_probes;
  }
};

// Turns keep-alive on for an open TCP socket. Returns false if the socket does not support it.
bool EnableKeepAlive(int descriptor, const KeepAlive& keep_alive);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_KEEPALIVE_H_
