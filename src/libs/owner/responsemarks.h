#ifndef DAMASKHOLLOW_OWNER_RESPONSEMARKS_H_
#define DAMASKHOLLOW_OWNER_RESPONSEMARKS_H_

#include <optional>

#include "http/callconvention.h"
#include "http/message.h"

namespace damaskhollow {

// What the head of a backend server's response tells about the server and the call.
struct ResponseMarks {
  bool not_run = false;          // The server states that it did not run the request.
  bool server_was_full = false;  // It did so because it had no free slot.
  std::optional<ServerLoad> load;
  std::optional<bool> is_leaving;  // Whether the server announces that it leaves, or that it stays.
};

// Reads the marks of a response. `shed_status` is the status with which the service states that it
// did not run a request, for a convention without a field for that. A rejecting server counts as
// full if its response has no load field, unless it is the wrong server (status 421).
ResponseMarks ReadMarks(const HttpResponseHead& head, const CallConvention& convention,
                        std::optional<int> shed_status);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_RESPONSEMARKS_H_
