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

// Sends calls with unique ids through random nodes while a test injects faults, and afterwards
// checks the outcome that each caller received against the run logs of the backend servers.
class CallLedger : public QObject {
 public:
  // Starts to send through the nodes in `ingresses`; `rate_per_second` is the total over all nodes.
  CallLedger(Fleet& fleet, std::vector<std::size_t> ingresses, double rate_per_second,
             std::uint64_t seed);

  // Stops sending and waits until all calls have ended. Returns false on a timeout.
  bool Finish();

  // Asserts for each call: a call that is not idempotent ran at most once; a call with the outcome
  // "answered" completed and its response body is complete and belongs to this call; a call with
  // the outcome "not-run", or whose connection was refused, did not run. Call after Finish().
  void CheckAll();

  std::size_t Sent() const { return m_calls.size(); }
  std::size_t Answered() const;

  // Returns one line with the number of calls for each outcome and reason.
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
  std::vector<QJsonObject> m_runs;  // One per backend server, read by CheckAll().
  std::size_t m_ended = 0;
  QTimer m_timer;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_CALLLEDGER_H_
