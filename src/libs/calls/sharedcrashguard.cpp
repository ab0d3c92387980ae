#include "calls/sharedcrashguard.h"

#include <QByteArray>
#include <algorithm>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

// More than the connections of any backend server. Bounds the memory when a server keeps closing
// connections.
constexpr std::size_t kMaxAborted = 1024;
constexpr std::size_t kMaxCleared = 1024;
constexpr std::size_t kMaxDigestBytes = 32;

}  // namespace

Reason SharedCrashGuard::CheckBan(const std::string& digest) const {
  if (!m_enabled) return Reason::kNone;
  const std::lock_guard lock(m_lock);
  return m_guard.IsBanned(digest, MonotonicNow()) ? Reason::kCrashingRequest : Reason::kNone;
}

bool SharedCrashGuard::IsSuspect(const std::string& digest) const {
  if (!m_enabled) return false;
  const std::lock_guard lock(m_lock);
  return m_guard.IsSuspect(digest, MonotonicNow());
}

void SharedCrashGuard::RecordAnswered(const std::string& digest) {
  if (!m_enabled) return;
  const std::lock_guard lock(m_lock);
  m_guard.RecordCompletion(digest, MonotonicNow());
}

void SharedCrashGuard::RecordLocalCompletion(const std::string& digest) {
  if (!m_enabled) return;
  const std::lock_guard lock(m_lock);
  const bool was_suspect = m_guard.RecordCompletion(digest, MonotonicNow());
  if (was_suspect && m_cleared.size() < kMaxCleared) m_cleared.push_back(digest);
}

void SharedCrashGuard::RecordAborted(const std::string& digest) {
  if (!m_enabled) return;
  const std::lock_guard lock(m_lock);
  if (m_aborted.digests.size() >= kMaxAborted) return;
  if (m_aborted.digests.empty()) m_aborted.first = MonotonicNow();
  // A digest that was in flight more than once counts once.
  const auto begin = m_aborted.digests.begin();
  if (std::find(begin, m_aborted.digests.end(), digest) == m_aborted.digests.end()) {
    m_aborted.digests.push_back(digest);
  }
}

std::optional<AbortedCalls> SharedCrashGuard::Aborted() const {
  const std::lock_guard lock(m_lock);
  if (m_aborted.digests.empty()) return std::nullopt;
  return m_aborted;
}

std::vector<std::string> SharedCrashGuard::ConfirmCrash() {
  const std::lock_guard lock(m_lock);
  std::vector<std::string> digests = std::exchange(m_aborted, {}).digests;
  LogBanned(m_guard.RecordCrash(digests, MonotonicNow()));
  return digests;
}

void SharedCrashGuard::DismissAborted() {
  const std::lock_guard lock(m_lock);
  m_aborted = AbortedCalls{};
}

std::vector<std::string> SharedCrashGuard::PopClearedSuspects() {
  const std::lock_guard lock(m_lock);
  return std::exchange(m_cleared, {});
}

void SharedCrashGuard::RecordReport(const BackendServerId& peer, const wire::CrashReport& report) {
  if (!m_enabled || report.owner_id() != peer.Value()) return;
  std::vector<std::string> digests;
  for (const std::string& digest : report.digests()) {
    if (digest.empty() || digest.size() > kMaxDigestBytes) return;
    digests.push_back(digest);
  }
  const std::lock_guard lock(m_lock);
  if (!IsNewReport(peer, report)) return;
  const TimePoint now = MonotonicNow();
  if (report.completed()) return m_guard.RecordReportedCompletion(peer, digests, now);
  LogBanned(m_guard.RecordReportedCrash(peer, digests, now));
}

bool SharedCrashGuard::IsNewReport(const BackendServerId& peer, const wire::CrashReport& report) {
  auto& [incarnation, sequence] = m_last_reports[peer];
  if (incarnation == report.owner_incarnation() && report.sequence() <= sequence) return false;
  incarnation = report.owner_incarnation();
  sequence = report.sequence();
  return true;
}

void SharedCrashGuard::LogBanned(std::span<const std::string> digests) {
  for (const std::string& digest : digests) {
    EventLine(LogPart::kOwner, LogLevel::kWarning, "request_banned")
        .With("digest", QByteArray::fromStdString(digest).toHex().toStdString())
        .With("reason", InfoOf(Reason::kCrashingRequest).name);
  }
}

}  // namespace damaskhollow
