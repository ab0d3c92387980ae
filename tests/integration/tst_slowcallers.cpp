#include <cppunit/TestAssert.h>

#include <QTimer>
#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/rawclient.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kByteInterval{1000};
constexpr std::string_view kRequestHead =
    "GET /read?ms=0 HTTP/1.1\r\nHost: shop.test\r\nX-Slow: 0123456789\r\n\r\n";
// Limit for the resident memory of a node process, 32 MiB, which is set in CONTRIBUTING.md.
constexpr double kMemoryLimitBytes = 32.0 * 1024.0 * 1024.0;

// Callers that send a request head byte by byte and reconnect when the node closes the connection.
class SlowCallers : public QObject {
 public:
  SlowCallers(const Endpoint& node, std::size_t count, std::size_t first_bytes)
      : m_node(node), m_clients(count), m_sent(count, 0), m_first_bytes(first_bytes) {
    for (std::size_t index = 0; index < count; ++index) Connect(index);
    connect(&m_timer, &QTimer::timeout, this, [this] { SendNext(); });
    m_timer.start(kByteInterval);
  }

  std::size_t Reconnects() const { return m_reconnects; }

 private:
  void Connect(std::size_t index) {
    m_clients[index] = std::make_unique<RawClient>(m_node);
    m_sent[index] = m_first_bytes;
    m_clients[index]->Send(kRequestHead.substr(0, m_first_bytes));
  }

  void SendNext() {
    for (std::size_t index = 0; index < m_clients.size(); ++index) {
      if (!m_clients[index]->IsOpen()) {
        ++m_reconnects;
        Connect(index);
      } else if (m_sent[index] + 1 < kRequestHead.size()) {
        m_clients[index]->Send(kRequestHead.substr(m_sent[index]++, 1));
      }
    }
  }

  const Endpoint m_node;
  std::vector<std::unique_ptr<RawClient>> m_clients;
  std::vector<std::size_t> m_sent;
  const std::size_t m_first_bytes;
  std::size_t m_reconnects = 0;
  QTimer m_timer;
};

struct SlowCase {
  std::string_view name;
  std::size_t callers;
  std::size_t first_bytes;  // Sent immediately; the rest follows at one byte per second.
  std::string_view path;    // Target of the callers that send complete requests.
};

constexpr std::array kCases{
    SlowCase{"one byte a second, urgent callers", 2000, 1, "/read?ms=0"},
    SlowCase{"one byte a second, bulk callers", 2000, 1, "/bulk?ms=0"},
    SlowCase{"most of a head at once", 2000, 40, "/read?ms=0"},
};

// Guards against callers that occupy a node's connections without ever sending a complete request
// head: other callers must be served all the time, and the node must stay within its memory limit.
void CompleteRequestsAreServed(const SlowCase& row) {
  constexpr int kCalls = 60;
  constexpr std::chrono::milliseconds kCallInterval{100};
  Fleet fleet({.servers = SmallFleet(1)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  const SlowCallers crowd(fleet.Caller(0), row.callers, row.first_bytes);
  double max_bytes = 0.0;
  for (int call = 0; call < kCalls; ++call) {
    const HttpResponse response = fleet.Call(0, "GET", row.path);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), std::string("answered"), response.Outcome());
    max_bytes = std::max(max_bytes, fleet.Metric(0, "damaskhollow_process_resident_memory_bytes "));
    RunFor(kCallInterval);
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(max_bytes), max_bytes < kMemoryLimitBytes);
  CPPUNIT_ASSERT(crowd.Reconnects() > 0);
}

const TableTest<SlowCase> registration("SlowCallers", kCases, &CompleteRequestsAreServed);

}  // namespace

}  // namespace damaskhollow::test
