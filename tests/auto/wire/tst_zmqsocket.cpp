#include <cppunit/TestAssert.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "support/tabletest.h"
#include "support/wait.h"
#include "wire/zmqsocket.h"

namespace damaskhollow {

namespace {

constexpr char kAddress[] = "inproc://zmqsocket";
constexpr char kPeer[] = "peer";
constexpr std::size_t kHugeFrame = 256UL * 1024UL * 1024UL;

// Leaves this process a few megabytes of address space until it is destroyed.
class NoFreeMemory {
 public:
  NoFreeMemory() {
    getrlimit(RLIMIT_AS, &m_previous);
    std::ifstream statm("/proc/self/statm");
    rlim_t pages = 0;
    statm >> pages;
    rlimit limit = m_previous;
    limit.rlim_cur = pages * static_cast<rlim_t>(sysconf(_SC_PAGESIZE)) + kHugeFrame / 4;
    setrlimit(RLIMIT_AS, &limit);
  }
  ~NoFreeMemory() { setrlimit(RLIMIT_AS, &m_previous); }
  NoFreeMemory(const NoFreeMemory&) = delete;
  NoFreeMemory& operator=(const NoFreeMemory&) = delete;

 private:
  rlimit m_previous{};
};

// A ROUTER socket, as nodes use for the links that they accept, and a DEALER socket linked to it.
class SocketPair {
 public:
  SocketPair()
      : m_router(
            Open(zmq::socket_type::router,
                 [](zmq::socket_t& opened) { opened.set(zmq::sockopt::router_mandatory, true); })),
        m_dealer(Open(zmq::socket_type::dealer,
                      [](zmq::socket_t& opened) { opened.set(zmq::sockopt::routing_id, kPeer); })) {
    CPPUNIT_ASSERT(m_router.Bind(kAddress));
    CPPUNIT_ASSERT(m_dealer->Connect(kAddress));
  }

  SocketResult<void> SendToDealer(std::string_view body) {
    return m_router.Send(std::array<std::string_view, 2>{kPeer, body});
  }
  ZmqSocket& Dealer() { return *m_dealer; }
  void CloseDealer() { m_dealer.reset(); }

 private:
  ZmqSocket Open(zmq::socket_type type, const ZmqSocket::Configure& configure) {
    SocketResult<ZmqSocket> socket = ZmqSocket::Open(m_context, type, configure, m_events);
    CPPUNIT_ASSERT(socket);
    return std::move(socket.value());
  }

  zmq::context_t m_context;
  SocketEvents m_events;
  ZmqSocket m_router;
  std::optional<ZmqSocket> m_dealer;
};

// Guards against a message whose body cannot be allocated after its first frame was sent: the
// routing id of the next message would become its body, and that message would reach nobody.
void SendsNothingWithoutMemory(SocketPair& sockets) {
  const std::string huge(kHugeFrame, 'x');
  {
    const NoFreeMemory limit;
    const SocketResult<void> sent = sockets.SendToDealer(huge);
    CPPUNIT_ASSERT(!sent);
    CPPUNIT_ASSERT(sent.error() == SocketError::kNoResources);
  }
  CPPUNIT_ASSERT(sockets.SendToDealer("next"));
  zmq::message_t frame;
  CPPUNIT_ASSERT(test::WaitUntil([&] { return bool(sockets.Dealer().Receive(frame)); }));
  CPPUNIT_ASSERT_EQUAL(std::string("next"), frame.to_string());
  CPPUNIT_ASSERT(!frame.more());
}

// Guards against a peer that is gone being taken for one that is only slow.
void TellsPeerThatIsGone(SocketPair& sockets) {
  sockets.CloseDealer();
  CPPUNIT_ASSERT(test::WaitUntil([&] {
    const SocketResult<void> sent = sockets.SendToDealer("x");
    return !sent && sent.error() == SocketError::kPeerGone;
  }));
}

struct SocketCase {
  std::string_view name;
  void (*run)(SocketPair& sockets);
};

constexpr std::array kCases{
    SocketCase{"no memory for the body", SendsNothingWithoutMemory},
    SocketCase{"peer is gone", TellsPeerThatIsGone},
};

void TestSocket(const SocketCase& row) {
  SocketPair sockets;
  row.run(sockets);
}

const test::TableTest<SocketCase> registration("ZmqSocket", kCases, &TestSocket);

}  // namespace

}  // namespace damaskhollow
