#ifndef DAMASKHOLLOW_POLICY_CRASHGUARD_H_
#define DAMASKHOLLOW_POLICY_CRASHGUARD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Remembers which requests were in flight when backend servers crashed, and bans those that go on
// crashing them. A request is named by its digest. Digests that are expected to be innocent are
// cleared by any completion.
class CrashGuard {
 public:
  // Notes a crash of this node's own backend server with these digests in flight. Returns the
  // digests that are banned because of it.
  std::vector<std::string> RecordCrash(std::span<const std::string> digests, TimePoint now);

  // Notes that a peer reported a crash of its own server. Ignored beyond the peer's rate, and for
  // digests that completed here a short time ago. Returns the digests that are banned because of
  // it.
  std::vector<std::string> RecordReportedCrash(const BackendServerId& owner,
                                               std::span<const std::string> digests, TimePoint now);

  // Notes that a request was answered here. Returns whether it was a suspect.
  bool RecordCompletion(std::string_view digest, TimePoint now);

  // Notes that a peer reported a completion on its own server.
  void RecordReportedCompletion(const BackendServerId& owner, std::span<const std::string> digests,
                                TimePoint now);

  // Whether the digest was in flight during a crash and has not completed since.
  bool IsSuspect(std::string_view digest, TimePoint now) const;

  // Whether the digest is refused.
  bool IsBanned(std::string_view digest, TimePoint now) const;

  // Digests in the table.
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    unsigned own_crashes = 0;
    std::vector<std::pair<BackendServerId, unsigned>> reported;  // Crashes by owner.
    TimePoint last_crash{};
    TimePoint banned_until{};
    std::list<std::string>::iterator position;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // What a peer may still report.
  struct Allowance {
    double digests = 0.0;
    TimePoint refilled_at{};
  };

  // A digest that completed, by its hash.
  struct Completion {
    std::uint64_t hash = 0;
    TimePoint at{};
  };
  static constexpr std::size_t kCompletionSets = 1024;
  static constexpr std::size_t kCompletionsPerSet = 4;
  using CompletionSet = std::array<Completion, kCompletionsPerSet>;

  Entry& FindOrAdd(const std::string& digest, TimePoint now);
  void Erase(Entries::iterator entry);
  bool BanIfDue(Entry& entry, TimePoint now) const;
  bool TryConsumeAllowance(const BackendServerId& owner, TimePoint now);
  void CacheCompletionTime(std::string_view digest, TimePoint now);
  bool HasCompletedRecently(std::string_view digest, TimePoint now) const;
  static bool IsCurrent(const Entry& entry, TimePoint now);

  Entries m_entries;
  std::list<std::string> m_order;  // The entry whose last crash is the oldest comes first.
  std::map<BackendServerId, Allowance> m_allowances;
  // By hash. In a set the newest replaces the oldest, so the memory is bounded without a search.
  std::array<CompletionSet, kCompletionSets> m_completions{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_CRASHGUARD_H_
