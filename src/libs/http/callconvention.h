#ifndef DAMASKHOLLOW_HTTP_CALLCONVENTION_H_
#define DAMASKHOLLOW_HTTP_CALLCONVENTION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace damaskhollow {

// The load of a backend server as reported by the server itself.
struct ServerLoad {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t slots = 0;
  double slowness = 1.0;  // Present run time on its VM, as a multiple of the usual one.
};

// The names of the header fields that callers, nodes and backend servers exchange. An empty name
// means that the field is not used. The defaults are those of the product itself.
struct CallConvention {
  // Set by callers.
  std::string service = "Damaskhollow-Service";
  std::string priority = "Damaskhollow-Priority";
  std::string deadline = "Damaskhollow-Deadline-Ms";   // Whole milliseconds.
  std::string depth = "Damaskhollow-Depth";            // Nesting depth of calls caused by calls.
  std::string request_id = "Damaskhollow-Request-Id";  // Under which a home records it.

  // Set on responses to callers.
  std::string outcome = "Damaskhollow-Outcome";
  std::string reason = "Damaskhollow-Reason";
  std::string served_by = "Damaskhollow-Served-By";
  std::string replayed = "Damaskhollow-Replayed";

  // Set on requests to backend servers.
  std::string caller_service;     // The service next to the ingress.
  std::string expected_instance;  // The incarnation that the owner addresses.

  // Set by backend servers.
  std::string drain = "Damaskhollow-Drain";  // 1: the server is leaving.
  std::string call_id;                       // Identifies a request; repeated in its response.
  std::string success_marker;                // Required on a success from the backend server.
  std::string not_run;                       // The request was not run, regardless of the status.
  std::string load;
  std::optional<ServerLoad> (*decode_load)(std::string_view) = nullptr;
  std::string
      cold;  // On responses of the health path: milliseconds for which the server stays cold.

  // Whether callers infer from the status alone that a call is guaranteed not to have run. Refusals
  // of calls that were not run then have status 503, regardless of the reason's own status.
  bool status_guarantees_not_run = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_CALLCONVENTION_H_
