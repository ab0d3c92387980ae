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

// Connections to this node's backend server that were closed with a call in flight, not yet known
// to be a crash or not.
struct AbortedCalls {
  TimePoint first{};
  std::vector<std::string> digests;
};

// The crash guard of a node under one lock. All members may be called from any thread. When it is
// switched off, nothing is noted and nothing is a suspect.
class SharedCrashGuard {
 public:
  explicit SharedCrashGuard(bool enabled) : m_enabled(enabled) {}

  // kCrashingRequest if the digest is banned, else kNone.
  Reason CheckBan(const std::string& digest) const;
  bool IsSuspect(const std::string& digest) const;

  // Notes that a request of this ingress was answered by any server.
  void RecordAnswered(const std::string& digest);

  // Notes that this node's own backend server completed a request; peers are told if it was a
  // suspect.
  void RecordLocalCompletion(const std::string& digest);

  // Notes that the backend server closed the connection of a call in flight.
  void RecordAborted(const std::string& digest);

  // The calls aborted since the last Confirm or Dismiss; empty if there are none.
  std::optional<AbortedCalls> Aborted() const;

  // Takes the aborted calls for a crash. Returns their digests.
  std::vector<std::string> ConfirmCrash();

  // Takes the aborted calls for something else.
  void DismissAborted();

  // The suspects that this node's own server completed since the last call.
  std::vector<std::string> PopClearedSuspects();

  // Notes what a peer reports. Reports on other servers than the peer's own, repeated ones and
  // malformed ones are ignored.
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
