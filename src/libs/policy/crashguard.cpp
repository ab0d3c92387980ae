#include "policy/crashguard.h"

#include <algorithm>

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

constexpr unsigned kCrashesToBan = 3;
constexpr std::size_t kOwnersToBan = 2;
constexpr std::chrono::minutes kBanTime{5};
constexpr std::chrono::minutes kSuspicionTime{5};
// Completion reports end a ban if they come from as many owners as crash reports need for one, so
// that a single node with false reports can neither begin a ban nor end one.
constexpr std::size_t kOwnersToEndBan = kOwnersToBan;
constexpr std::size_t kMaxEntries = 1024;
constexpr std::size_t kMaxContested = 1024;
// Reporters beyond the number needed for a ban make no difference.
constexpr std::size_t kMaxReportersPerDigest = 4;

// Rate limit per peer: the calls in flight of a few crashes at once, then far fewer than would fill
// the table within the suspicion time.
constexpr double kAllowanceDigests = 64.0;
constexpr double kAllowancePerSecond = 1.0;

// Reports against a digest that was answered here within this time are ignored: it was in flight by
// chance, or the report is forged. This also applies after a crash of the own server, because a
// crashing request that is retried immediately can crash several servers beside the same popular
// request before the first report arrives.
constexpr std::chrono::seconds kRecentCompletion{10};

std::uint64_t HashOf(std::string_view digest) { return StableHash("completion", digest); }

}  // namespace

std::vector<std::string> CrashGuard::RecordCrash(std::span<const std::string> digests,
                                                 TimePoint now) {
  std::vector<std::string> banned;
  for (const std::string& digest : digests) {
    Entry& entry = FindOrAdd(digest, now);
    ++entry.own_crashes;
    if (BanIfDue(entry, now)) banned.push_back(digest);
  }
  return banned;
}

std::vector<std::string> CrashGuard::RecordReportedCrash(const BackendServerId& owner,
                                                         std::span<const std::string> digests,
                                                         TimePoint now) {
  std::vector<std::string> banned;
  for (const std::string& digest : digests) {
    if (!TryConsumeAllowance(owner, now)) return banned;
    if (HasCompletedRecently(digest, now)) {
      if (m_contested.size() < kMaxContested) m_contested.insert(digest);
      continue;
    }
    Entry& entry = FindOrAdd(digest, now);
    const auto known = std::find_if(entry.reported.begin(), entry.reported.end(),
                                    [&](const auto& report) { return report.first == owner; });
    if (known != entry.reported.end()) {
      ++known->second;
    } else if (entry.reported.size() < kMaxReportersPerDigest) {
      entry.reported.emplace_back(owner, 1U);
    }
    if (BanIfDue(entry, now)) banned.push_back(digest);
  }
  return banned;
}

bool CrashGuard::RecordCompletion(std::string_view digest, TimePoint now) {
  CacheCompletionTime(digest, now);
  const auto contested = m_contested.find(digest);
  const bool is_contested = contested != m_contested.end();
  if (is_contested) m_contested.erase(contested);
  const auto found = m_entries.find(digest);
  if (found == m_entries.end()) return is_contested;
  const bool was_suspect = IsCurrent(found->second, now);
  Erase(found);
  return was_suspect || is_contested;
}

void CrashGuard::RecordReportedCompletion(const BackendServerId& owner,
                                          std::span<const std::string> digests, TimePoint now) {
  for (const std::string& digest : digests) {
    if (!TryConsumeAllowance(owner, now)) return;
    const auto found = m_entries.find(digest);
    if (found == m_entries.end()) continue;
    Entry& entry = found->second;
    if (entry.banned_until > now) {
      std::vector<BackendServerId>& owners = entry.completed_at;
      if (std::find(owners.begin(), owners.end(), owner) == owners.end()) owners.push_back(owner);
      if (owners.size() < kOwnersToEndBan) continue;
    }
    Erase(found);
  }
}

bool CrashGuard::IsSuspect(std::string_view digest, TimePoint now) const {
  const auto found = m_entries.find(digest);
  return found != m_entries.end() && IsCurrent(found->second, now);
}

bool CrashGuard::IsBanned(std::string_view digest, TimePoint now) const {
  const auto found = m_entries.find(digest);
  return found != m_entries.end() && found->second.banned_until > now;
}

bool CrashGuard::IsCurrent(const Entry& entry, TimePoint now) {
  return now - entry.last_crash < kSuspicionTime || entry.banned_until > now;
}

CrashGuard::Entry& CrashGuard::FindOrAdd(const std::string& digest, TimePoint now) {
  if (const auto found = m_entries.find(digest); found != m_entries.end()) {
    Entry& entry = found->second;
    m_order.splice(m_order.end(), m_order, entry.position);
    if (!IsCurrent(entry, now)) {
      entry.own_crashes = 0;
      entry.reported.clear();
    }
    entry.last_crash = now;
    return entry;
  }
  if (m_entries.size() >= kMaxEntries) Erase(m_entries.find(m_order.front()));
  Entry& entry = m_entries[digest];
  entry.position = m_order.insert(m_order.end(), digest);
  entry.last_crash = now;
  return entry;
}

void CrashGuard::Erase(Entries::iterator entry) {
  m_order.erase(entry->second.position);
  m_entries.erase(entry);
}

bool CrashGuard::BanIfDue(Entry& entry, TimePoint now) const {
  unsigned crashes = entry.own_crashes;
  for (const auto& report : entry.reported) crashes += report.second;
  const bool has_evidence = entry.own_crashes > 0 || entry.reported.size() >= kOwnersToBan;
  if (crashes < kCrashesToBan || !has_evidence || entry.banned_until > now) return false;
  entry.banned_until = now + kBanTime;
  entry.completed_at.clear();
  return true;
}

bool CrashGuard::TryConsumeAllowance(const BackendServerId& owner, TimePoint now) {
  const auto [found, is_new] = m_allowances.try_emplace(owner);
  Allowance& allowance = found->second;
  if (is_new) {
    allowance.digests = kAllowanceDigests;
  } else if (now > allowance.refilled_at) {
    const double seconds = std::chrono::duration<double>(now - allowance.refilled_at).count();
    allowance.digests =
        std::min(kAllowanceDigests, allowance.digests + seconds * kAllowancePerSecond);
  }
  allowance.refilled_at = now;
  if (allowance.digests < 1.0) return false;
  allowance.digests -= 1.0;
  return true;
}

void CrashGuard::CacheCompletionTime(std::string_view digest, TimePoint now) {
  const std::uint64_t hash = HashOf(digest);
  CompletionSet& set = m_completions[hash % kCompletionSets];
  auto slot = std::find_if(set.begin(), set.end(),
                           [hash](const Completion& entry) { return entry.hash == hash; });
  if (slot == set.end()) {
    slot = std::min_element(set.begin(), set.end(),
                            [](const auto& left, const auto& right) { return left.at < right.at; });
  }
  *slot = Completion{hash, now};
}

bool CrashGuard::HasCompletedRecently(std::string_view digest, TimePoint now) const {
  const std::uint64_t hash = HashOf(digest);
  const CompletionSet& set = m_completions[hash % kCompletionSets];
  return std::any_of(set.begin(), set.end(), [&](const Completion& entry) {
    return entry.hash == hash && now - entry.at < kRecentCompletion;
  });
}

}  // namespace damaskhollow
