#ifndef DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMCALLLEDGER_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMCALLLEDGER_H_

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "support/httpclient.h"
#include "support/platformfleet.h"

namespace damaskhollow::test {

// Sends safe and unsafe calls through all nodes of a PlatformFleet, over kept and fresh
// connections, and afterwards checks each answer against the runs at the instances. CallLedger is
// its counterpart for Fleet, whose answers name an outcome; here the status alone tells it.
class PlatformCallLedger : public QObject {
 public:
  using Time = std::chrono::steady_clock::time_point;

  struct Call {
    std::size_t node = 0;
    bool safe = false;
    bool kept = false;  // Sent over a connection that is kept open between calls.
    std::string request_id;
    std::string target;
    std::string body;
    Time began;
    Time ended;
    bool has_ended = false;
    HttpResponse response;
  };

  // Whether the caller has got no answer because of a fault of the node that it called.
  using MayLackAnswer = std::function<bool(const Call&, bool has_run)>;

  // The configuration needs the routes of PlatformFleet and an unsafe route /order/.
  PlatformCallLedger(PlatformFleet& fleet, double rate_per_second, std::uint64_t seed);

  // Stops sending and waits until all calls have ended. Returns false on a timeout.
  bool Finish();

  // Returns one line for each violation: an unsafe call that ran twice, a call that was refused but
  // ran, a status that no fault explains, an answer that belongs to another call or isn't whole,
  // and a call without an answer that `may_lack_answer` doesn't allow. Call after Finish().
  std::vector<std::string> Violations(const MayLackAnswer& may_lack_answer) const;

  std::size_t Sent() const { return m_calls.size(); }
  std::size_t CountStatus(int status) const;

  // Returns one line with the number of calls for each status.
  std::string Summary() const;

 private:
  void SendOne();
  // A call over m_busy is followed by another one of its caller.
  void Send(std::size_t node, HttpClient& client);
  void SendNext(std::size_t node, int last_status);
  std::string ViolationOf(const Call& call, const std::vector<std::size_t>& runs,
                          const MayLackAnswer& may_lack_answer) const;

  PlatformFleet& m_fleet;
  RandomSource m_random;
  HttpClient m_kept{true};
  HttpClient m_fresh{false};
  // Connections of callers that send a request soon after each response, and stay at a node until
  // it does not answer, so that a stopping node meets connections in use.
  HttpClient m_busy{true};
  std::vector<Call> m_calls;
  std::size_t m_ended = 0;
  QTimer m_timer;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMCALLLEDGER_H_
