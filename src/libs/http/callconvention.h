#ifndef DAMASKHOLLOW_HTTP_CALLCONVENTION_H_
#define DAMASKHOLLOW_HTTP_CALLCONVENTION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace damaskhollow {

// The load of a backend server as it reports it itself.
struct ServerLoad {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t slots = 0;
  double slowness = 1.0;  // How long work takes on its VM now, as a multiple of the usual time.
};

// How calls are spelled between callers, nodes and backend servers: the names of header fields. An
// empty name means that the field is not used. The defaults are the product's own.
struct CallConvention {
  // Set by callers.
  std::string service = "Damaskhollow-Service";
  std::string priority = "Damaskhollow-Priority";
  std::string deadline = "Damaskhollow-Deadline-Ms";   // Whole milliseconds.
  std::string depth = "Damaskhollow-Depth";            // Of calls that cause calls.
  std::string request_id = "Damaskhollow-Request-Id";  // By which a home remembers a request.

  // Set on answers to callers.
  std::string outcome = "Damaskhollow-Outcome";
  std::string reason = "Damaskhollow-Reason";
  std::string served_by = "Damaskhollow-Served-By";
  std::string replayed = "Damaskhollow-Replayed";

  // Set on requests to backend servers.
  std::string caller_service;     // The service beside the ingress.
  std::string expected_instance;  // The incarnation that the owner means.

  // Set by backend servers.
  std::string drain = "Damaskhollow-Drain";  // 1: leaving.
  std::string call_id;                       // Names a request; its answer repeats it.
  std::string success_marker;  // Without it, a success is not the backend server's answer.
  std::string not_run;         // The request was not run, whatever the status.
  std::string load;
  std::optional<ServerLoad> (*decode_load)(std::string_view) = nullptr;

  // Whether the owner's word that a call was not run is a promise that callers read off the status.
  // Refusals of calls that were not run then bear 503, whatever the reason's own status.
  bool status_guarantees_not_run = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_CALLCONVENTION_H_
