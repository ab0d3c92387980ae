#ifndef DAMASKHOLLOW_POLICY_CRASHGUARD_H_
#define DAMASKHOLLOW_POLICY_CRASHGUARD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Records which requests were in flight when backend servers crashed, and bans those that
// repeatedly cause crashes. A request is identified by its digest. A completion clears the
// suspicion against a digest that was in flight by chance.
class CrashGuard {
 public:
  // Records a crash of the backend server of this node with these digests in flight. Returns the
  // digests that are banned because of it.
  std::vector<std::string> RecordCrash(std::span<const std::string> digests, TimePoint now);

  // Records a crash that a peer reported for its own server. Digests beyond the rate limit of the
  // peer, and digests that completed here a short time ago, are ignored. Returns the digests that
  // are banned because of it.
  std::vector<std::string> RecordReportedCrash(const BackendServerId& owner,
                                               std::span<const std::string> digests, TimePoint now);

  // Records that a request was answered here. Returns whether it was a suspect, here or in a report
  // of a peer that was ignored.
  bool RecordCompletion(std::string_view digest, TimePoint now);

  // Records a completion that a peer reported for its own server. Ends the suspicion; a ban ends
  // when several peers have reported completions since it began.
  void RecordReportedCompletion(const BackendServerId& owner, std::span<const std::string> digests,
                                TimePoint now);

  // Whether the digest was in flight during a crash and has not completed since.
  bool IsSuspect(std::string_view digest, TimePoint now) const;

  // Whether requests with the digest are refused.
  bool IsBanned(std::string_view digest, TimePoint now) const;

  // Number of digests in the table.
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    unsigned own_crashes = 0;
    std::vector<std::pair<BackendServerId, unsigned>> reported;  // Crashes by owner.
    TimePoint last_crash{};
    TimePoint banned_until{};
    std::vector<BackendServerId> completed_at;  // Peers with completions since the ban began.
    std::list<std::string>::iterator position;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // Token bucket for the digests that a peer may report.
  struct Allowance {
    double digests = 0.0;
    TimePoint refilled_at{};
  };

  // A recently completed digest, identified by its hash.
  struct Completion {
    std::uint64_t hash = 0;
    TimePoint at{};
  };
  static constexpr std::size_t kCompletionSets = 1024;
  static constexpr std::size_t kCompletionsPerSet = 4;
  using CompletionSet = std::array<Completion, kCompletionsPerSet>;

  Entry& FindOrAdd(const std::string& digest, TimePoint now);
  void Erase(Entries::iterator entry);
  // Bans the entry if there are enough crashes and sufficient evidence. Returns whether it is newly
  // banned.
  bool BanIfDue(Entry& entry, TimePoint now) const;
  // Consumes one digest of the rate limit of a peer. Returns false if the limit is reached.
  bool TryConsumeAllowance(const BackendServerId& owner, TimePoint now);
  void CacheCompletionTime(std::string_view digest, TimePoint now);
  bool HasCompletedRecently(std::string_view digest, TimePoint now) const;
  // Whether the entry is still under suspicion or banned.
  static bool IsCurrent(const Entry& entry, TimePoint now);

  Entries m_entries;
  std::list<std::string> m_order;  // Digests by time of the last crash, oldest first.
  // Digests with reported crashes that were ignored because of a recent completion here.
  std::set<std::string, std::less<>> m_contested;
  std::map<BackendServerId, Allowance> m_allowances;
  // Set-associative cache by hash. In a set the newest entry replaces the oldest, so memory is
  // bounded and no search over all entries is needed.
  std::array<CompletionSet, kCompletionSets> m_completions{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_CRASHGUARD_H_
