#ifndef DAMASKHOLLOW_CALLS_SHAREDCRASHGUARD_H_
#define DAMASKHOLLOW_CALLS_SHAREDCRASHGUARD_H_

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "policy/crashguard.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// Calls whose connection to this node's backend server was closed while they ran, before it is
// decided whether the server has crashed.
struct AbortedCalls {
  TimePoint first{};  // When the first one was aborted.
  std::vector<std::string> digests;
};

// Makes the node's crash guard thread-safe, collects aborted calls until they are attributed to a
// crash or not, and filters the reports of peers. All member functions may be called from any
// thread. When disabled, nothing is recorded and no request is a suspect.
class SharedCrashGuard {
 public:
  explicit SharedCrashGuard(bool enabled) : m_enabled(enabled) {}

  // Returns kCrashingRequest if the digest is banned, else kNone.
  Reason CheckBan(const std::string& digest) const;

  // Whether a request with this digest is suspected of crashing backend servers.
  bool IsSuspect(const std::string& digest) const;

  // Records that a request sent by this node's ingress was answered, by whichever server.
  void RecordAnswered(const std::string& digest);

  // Records that this node's own backend server completed a request. If it was a suspect, it is
  // returned by PopClearedSuspects, to be reported to the peers.
  void RecordLocalCompletion(const std::string& digest);

  // Records that the backend server closed the connection of a running call.
  void RecordAborted(const std::string& digest);

  // Returns the calls aborted since the last ConfirmCrash or DismissAborted; empty if there are
  // none.
  std::optional<AbortedCalls> Aborted() const;

  // Attributes the aborted calls to a crash and clears them. Returns their digests.
  std::vector<std::string> ConfirmCrash();

  // Clears the aborted calls without attributing them to a crash.
  void DismissAborted();

  // Returns and clears the digests of suspects that this node's own server has completed.
  std::vector<std::string> PopClearedSuspects();

  // Records a crash or completion reported by a peer. Ignores reports about servers other than the
  // peer's own, duplicates, and malformed reports.
  void RecordReport(const BackendServerId& peer, const wire::CrashReport& report);

 private:
  bool IsNewReport(const BackendServerId& peer, const wire::CrashReport& report);
  static void LogBanned(std::span<const std::string> digests);

  const bool m_enabled;
  mutable std::mutex m_lock;
  CrashGuard m_guard;
  AbortedCalls m_aborted;
  std::vector<std::string> m_cleared;
  std::map<BackendServerId, std::pair<std::uint64_t, std::uint64_t>>
      m_last_reports;  // Incarnation and sequence.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_SHAREDCRASHGUARD_H_
