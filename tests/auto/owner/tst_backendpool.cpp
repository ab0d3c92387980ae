#include <cppunit/TestAssert.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "owner/backendpool.h"
#include "support/freeport.h"
#include "support/httpserver.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kRequestTimeout{10000};
constexpr std::size_t kCredit = 65536;

// A backend server that answers the requests to /held on Release() and all others at once.
class TestServer {
 public:
  TestServer()
      : m_address(test::FreeEndpoint()),
        m_server(
            [this](ConnectionId connection, const HttpRequest& request) {
              ++m_requests;
              if (request.target == "/held") {
                m_held = connection;
              } else {
                m_server.SendResponse(connection, 200, "");
              }
            },
            [this](ConnectionId) { ++m_closed; }) {
    CPPUNIT_ASSERT(m_server.Listen(m_address));
  }

  const Endpoint& Address() const { return m_address; }
  int Requests() const { return m_requests; }
  int ClosedConnections() const { return m_closed; }
  void Release() { m_server.SendResponse(m_held, 200, ""); }

 private:
  const Endpoint m_address;
  int m_requests = 0;
  int m_closed = 0;
  ConnectionId m_held;
  test::HttpServer m_server;
};

class CountingHandler : public BackendResponseHandler {
 public:
  void OnResponsePart(OwnedCallId, ResponsePart part) override { m_answers += part.last ? 1 : 0; }
  void OnRequestFailed(OwnedCallId, const RequestFailure&) override { ++m_failures; }
  int Answers() const { return m_answers; }
  int Failures() const { return m_failures; }

 private:
  std::atomic<int> m_answers{0};
  std::atomic<int> m_failures{0};
};

// The pool of a node with one worker, and the servers before and after a change of the address.
class PoolWithTwoServers {
 public:
  TestServer old_server;
  TestServer new_server;
  CountingHandler handler;

  PoolWithTwoServers() : m_workers(MakeWorkers()), m_pool(m_workers, handler) {
    m_pool.SetServer(old_server.Address());
  }
  ~PoolWithTwoServers() { m_pool.Stop(); }
  PoolWithTwoServers(const PoolWithTwoServers&) = delete;
  PoolWithTwoServers& operator=(const PoolWithTwoServers&) = delete;

  void Send(const std::string& target) {
    BackendRequest request;
    request.request.method = "GET";
    request.request.target = target;
    request.request.headers = {{"Host", "test"}};
    request.credit = kCredit;
    request.timeout = kRequestTimeout;
    request.idempotent = true;
    m_pool.SendRequest(OwnedCallId{m_next_call++}, std::move(request));
  }
  void ChangeServer() { m_pool.SetServer(new_server.Address()); }
  bool HasAnswers(int count) {
    return test::WaitUntil([&] { return handler.Answers() == count; });
  }

 private:
  static std::vector<std::unique_ptr<EventThread>> MakeWorkers() {
    std::vector<std::unique_ptr<EventThread>> workers;
    workers.push_back(std::make_unique<EventThread>("worker"));
    return workers;
  }

  std::vector<std::unique_ptr<EventThread>> m_workers;
  BackendPool m_pool;
  std::uint64_t m_next_call = 1;
};

// Guards against idle connections to a server before that take descriptors until it closes them.
void ClosesIdleConnection(PoolWithTwoServers& pool) {
  pool.Send("/x");
  CPPUNIT_ASSERT(pool.HasAnswers(1));
  pool.ChangeServer();
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pool.old_server.ClosedConnections() == 1; }));
}

// Guards against a request that reaches the server before, because a call that ran during the
// change has left its connection idle.
void DoesNotReuseConnectionOfRunningCall(PoolWithTwoServers& pool) {
  pool.Send("/held");
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pool.old_server.Requests() == 1; }));
  pool.ChangeServer();
  pool.old_server.Release();
  CPPUNIT_ASSERT(pool.HasAnswers(1));
  pool.Send("/x");
  CPPUNIT_ASSERT(pool.HasAnswers(2));
  CPPUNIT_ASSERT_EQUAL(1, pool.old_server.Requests());
  CPPUNIT_ASSERT_EQUAL(1, pool.new_server.Requests());
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pool.old_server.ClosedConnections() == 1; }));
}

// Guards against a new connection for each request.
void ReusesConnectionToSameServer(PoolWithTwoServers& pool) {
  for (int call = 1; call <= 3; ++call) {
    pool.Send("/x");
    CPPUNIT_ASSERT(pool.HasAnswers(call));
  }
  pool.ChangeServer();
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pool.old_server.ClosedConnections() > 0; }));
  CPPUNIT_ASSERT_EQUAL(1, pool.old_server.ClosedConnections());
  CPPUNIT_ASSERT_EQUAL(0, pool.handler.Failures());
}

struct PoolCase {
  std::string_view name;
  void (*run)(PoolWithTwoServers& pool);
};

constexpr std::array kCases{
    PoolCase{"idle connection at a change of the server", ClosesIdleConnection},
    PoolCase{"running call at a change of the server", DoesNotReuseConnectionOfRunningCall},
    PoolCase{"same server", ReusesConnectionToSameServer},
};

void TestPool(const PoolCase& row) {
  PoolWithTwoServers pool;
  row.run(pool);
}

const test::TableTest<PoolCase> registration("BackendPool", kCases, &TestPool);

}  // namespace

}  // namespace damaskhollow
