#ifndef DAMASKHOLLOW_TESTS_SUPPORT_CALLLEDGER_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_CALLLEDGER_H_

#include <QObject>
#include <QTimer>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "support/fleet.h"

namespace damaskhollow::test {

// Sends calls with ids of their own through random nodes while faults are at work, and checks
// afterwards that what each caller was told is true.
class CallLedger : public QObject {
 public:
  // Sends through the nodes in `ingresses`, `rate_per_second` calls in all.
  CallLedger(Fleet& fleet, std::vector<std::size_t> ingresses, double rate_per_second,
             std::uint64_t seed);

  // Sends no more calls and waits until all have ended; false if they do not.
  bool Finish();

  // Asserts for each call: one that is not idempotent ran at most once; one that was answered ran
  // and its answer is its own and whole; one that was called not-run did not run.
  void CheckAll();

  std::size_t Sent() const { return m_calls.size(); }
  std::size_t Answered() const;

  // One line with the count of each outcome.
  std::string Summary() const;

 private:
  struct Call {
    std::string id;
    bool idempotent = false;
    std::size_t bytes = 0;
    bool ended = false;
    HttpResponse response;
  };

  void SendOne();
  RunCounts RunsOf(const std::string& id) const;

  Fleet& m_fleet;
  std::vector<std::size_t> m_ingresses;
  RandomSource m_random;
  std::vector<Call> m_calls;
  std::vector<QJsonObject> m_runs;  // By backend server, read once the calls have ended.
  std::size_t m_ended = 0;
  QTimer m_timer;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_CALLLEDGER_H_
