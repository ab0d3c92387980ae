#include <cppunit/TestAssert.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "support/freeport.h"
#include "support/nofreedescriptors.h"
#include "support/tabletest.h"
#include "support/wait.h"
#include "wire/peertransport.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kSignalInterval{200};
// The users' bound for recovery after a disturbance.
constexpr milliseconds kStability{4000};

// A node's side of the transport: answers each ping-like call and records what it receives.
class RecordingPeer : public PeerHandler {
 public:
  explicit RecordingPeer(const std::string& id, LinkKeys keys = {})
      : m_keys(std::move(keys)),
        m_endpoint(test::FreeEndpoint()),
        m_transport(std::make_unique<PeerTransport>(
            TransportOptions{BackendServerId(id), Incarnation{1}, m_endpoint, m_keys, {}}, *this)) {
  }

  bool Start() { return static_cast<bool>(m_transport->Start()); }
  PeerTransport& Transport() { return *m_transport; }
  const std::string& PublicKey() const { return m_keys.public_key; }
  const Endpoint& Address() const { return m_endpoint; }
  bool IsLinkedTo(const std::string& id) const {
    const std::lock_guard lock(m_lock);
    return std::find(m_linked.begin(), m_linked.end(), BackendServerId(id)) != m_linked.end();
  }
  // The call ids of the answers received so far, in order.
  std::vector<std::uint64_t> Answers() const {
    const std::lock_guard lock(m_lock);
    return m_answers;
  }
  int FailedSends() const { return m_failed_sends.load(); }
  int OpenedLinks() const { return m_opened_links.load(); }
  std::uint64_t Events(SocketEvent event) const {
    return m_events[static_cast<std::size_t>(event)].load();
  }
  // The kernel's id of the transport's thread; 0 until a link has been up.
  int ThreadId() const { return m_thread.load(); }

  void Call(const std::string& peer, std::uint64_t id) {
    wire::Envelope message;
    message.mutable_call_request()->set_call_id(id);
    m_transport->Send(BackendServerId(peer), std::move(message));
  }

  // Whether calls wait for messages, so that silence on a link is noticed within a second.
  void SetOutstanding(bool has_outstanding) { m_has_outstanding.store(has_outstanding); }

  // While the returned lock is held, the transport's thread stops at the next answer.
  std::unique_lock<std::mutex> BlockAtAnswers() { return std::unique_lock(m_answer_gate); }

  // Whether the transport's thread has come to an answer while it is blocked there.
  bool IsAtAnswerGate() const { return m_is_at_gate.load(); }

  // How many messages of calls came before the first control message; empty until one has come.
  std::optional<int> CallsBeforeControl() const {
    const std::lock_guard lock(m_lock);
    return m_calls_before_control;
  }

  // Where the last call came from.
  ReplyRoute LastRoute() const {
    const std::lock_guard lock(m_lock);
    return m_last_route;
  }

  void OnLinkUp(const BackendServerId& peer, const wire::OwnerState&) override {
    const std::lock_guard lock(m_lock);
    ++m_opened_links;
    m_linked.push_back(peer);
    m_thread.store(static_cast<int>(syscall(SYS_gettid)));
  }
  void OnLinkDown(const BackendServerId& peer) override {
    const std::lock_guard lock(m_lock);
    std::erase(m_linked, peer);
  }
  void OnMessage(const ReplyRoute& route, wire::Envelope message) override {
    CountMessage(message);
    if (message.has_refused()) {
      m_is_at_gate.store(true);
      const std::lock_guard gate(m_answer_gate);
      m_is_at_gate.store(false);
      const std::lock_guard lock(m_lock);
      m_answers.push_back(message.refused().call_id());
      return;
    }
    if (!message.has_call_request()) return;
    {
      const std::lock_guard lock(m_lock);
      m_last_route = route;
    }
    wire::Envelope answer;
    answer.mutable_refused()->set_call_id(message.call_request().call_id());
    m_transport->Reply(route, std::move(answer));
  }
  void OnSendFailed(const BackendServerId&, wire::Envelope) override { ++m_failed_sends; }
  bool HasOutstandingCalls(const BackendServerId&) const override { return m_has_outstanding; }
  wire::OwnerState LocalOwnerState() const override { return {}; }
  bool IsAllowedPeer(const BackendServerId&, const std::string&) const override { return true; }
  void OnSent(const BackendServerId&, const wire::Envelope&, std::size_t) override {}
  void OnControlReceived(const BackendServerId&, std::size_t) override {}
  void OnSocketEvents(SocketEvent event, std::uint64_t count) override {
    m_events[static_cast<std::size_t>(event)] += count;
  }

 private:
  void CountMessage(const wire::Envelope& message) {
    const std::lock_guard lock(m_lock);
    if (!IsControlMessage(message)) {
      ++m_call_messages;
    } else if (!m_calls_before_control) {
      m_calls_before_control = m_call_messages;
    }
  }

  const LinkKeys m_keys;
  const Endpoint m_endpoint;
  std::mutex m_answer_gate;
  std::atomic<bool> m_is_at_gate{false};
  mutable std::mutex m_lock;
  ReplyRoute m_last_route;
  std::atomic<bool> m_has_outstanding{false};
  std::atomic<int> m_opened_links{0};
  std::vector<BackendServerId> m_linked;
  std::vector<std::uint64_t> m_answers;
  int m_call_messages = 0;
  std::optional<int> m_calls_before_control;
  std::atomic<int> m_failed_sends{0};
  std::atomic<int> m_thread{0};
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(SocketEvent::kCount)> m_events{};
  std::unique_ptr<PeerTransport> m_transport;
};

// Sends a handled signal to threads of this process at kSignalInterval until it is destroyed.
class Interruptions {
 public:
  explicit Interruptions(std::vector<int> threads) {
    struct sigaction action {};
    action.sa_handler = [](int) {};
    action.sa_flags = SA_RESTART;
    sigaction(SIGUSR2, &action, &m_previous);
    m_sender = std::jthread([threads = std::move(threads)](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        for (const int thread : threads) syscall(SYS_tgkill, getpid(), thread, SIGUSR2);
        std::this_thread::sleep_for(kSignalInterval);
      }
    });
  }
  ~Interruptions() {
    m_sender.request_stop();
    m_sender.join();
    sigaction(SIGUSR2, &m_previous, nullptr);
  }
  Interruptions(const Interruptions&) = delete;
  Interruptions& operator=(const Interruptions&) = delete;

 private:
  struct sigaction m_previous {};
  std::jthread m_sender;
};

// Keys of a node with encrypted links, or none.
LinkKeys MakeKeys(bool is_encrypted) {
  return is_encrypted ? GenerateLinkKeys().value() : LinkKeys{};
}

struct Pair {
  RecordingPeer near;
  RecordingPeer far;

  explicit Pair(bool is_encrypted)
      : near("a", MakeKeys(is_encrypted)), far("b", MakeKeys(is_encrypted)) {}

  void Link() {
    CPPUNIT_ASSERT(near.Start());
    CPPUNIT_ASSERT(far.Start());
    near.Transport().OpenLink(BackendServerId("b"), far.Address(), far.PublicKey());
    far.Transport().OpenLink(BackendServerId("a"), near.Address(), near.PublicKey());
    CPPUNIT_ASSERT(test::WaitUntil([this] { return near.IsLinkedTo("b") && far.IsLinkedTo("a"); }));
  }
};

// Guards against a signal with a handler that interrupts a call of libzmq and ends the process, or
// loses or doubles a message.
void SurvivesInterruptedCalls(Pair& pair) {
  constexpr std::uint64_t kCalls = 20000;
  {
    const Interruptions interruptions({pair.near.ThreadId(), pair.far.ThreadId()});
    for (std::uint64_t call = 1; call <= kCalls; ++call) {
      pair.near.Call("b", call);
      if (call % 100 == 0) {
        CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == call; }));
      }
    }
  }
  // Comes behind any second copy of an answer.
  pair.near.Call("b", kCalls + 1);
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().back() == kCalls + 1; }));
  const std::vector<std::uint64_t> answers = pair.near.Answers();
  CPPUNIT_ASSERT_EQUAL(std::size_t{kCalls + 1}, answers.size());
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    CPPUNIT_ASSERT_EQUAL(call, answers[call - 1]);
  }
  CPPUNIT_ASSERT_EQUAL(0, pair.near.FailedSends());
  CPPUNIT_ASSERT(pair.near.IsLinkedTo("b"));
  CPPUNIT_ASSERT(test::WaitUntil([&] {
    return pair.near.Events(SocketEvent::kInterrupted) +
               pair.far.Events(SocketEvent::kInterrupted) >
           0;
  }));
}

// Guards against a process that ends when no descriptor is left for the socket of a link, and
// against a link that is not opened when there are descriptors again.
void OpensLinksWhenDescriptorsAreFree(Pair& pair) {
  RecordingPeer other("c", MakeKeys(!pair.far.PublicKey().empty()));
  CPPUNIT_ASSERT(other.Start());
  {
    const test::NoFreeDescriptors limit;
    pair.near.Transport().OpenLink(BackendServerId("c"), other.Address(), other.PublicKey());
    CPPUNIT_ASSERT(
        test::WaitUntil([&] { return pair.near.Events(SocketEvent::kNoResources) > 0; }));
    pair.near.Call("c", 1);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.FailedSends() == 1; }));
    pair.near.Call("b", 2);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == 1; }));
  }
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.IsLinkedTo("c"); }, kStability));
}

// Guards against an address from the list of VMs that ZeroMQ refuses and that ends every process
// that reads the list.
void KeepsOtherLinksBesideInvalidAddress(Pair& pair) {
  for (const char* address : {"fe80::1%a b", "::1%x,y", "not an address"}) {
    pair.near.Transport().OpenLink(BackendServerId(address), Endpoint{address, 80}, "");
  }
  CPPUNIT_ASSERT(
      test::WaitUntil([&] { return pair.near.Events(SocketEvent::kInvalidArgument) >= 3; }));
  pair.near.Call("b", 1);
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == 1; }));
}

// Guards against a crash of a node that is stopped while its other threads still send.
void IgnoresMessagesAfterStop(Pair& pair) {
  pair.near.Call("b", 1);
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == 1; }));
  std::atomic<bool> ended{false};
  std::jthread sender([&] {
    while (!ended.load()) pair.near.Call("b", 2);
  });
  pair.near.Transport().Stop();
  pair.near.Call("b", 3);
  pair.near.Transport().OpenLink(BackendServerId("c"), pair.far.Address(), "");
  ended.store(true);
}

// Guards against a call that waits until its deadline because the last reply to it was dropped: a
// peer that reads too slowly must learn of the dropped reply by the loss of its link.
void ReplacesLinkAfterDroppedReply(Pair& pair) {
  constexpr std::size_t kReplyBytes = 8192;
  constexpr int kBatch = 500;
  constexpr int kMaxBatches = 60;
  pair.near.Call("b", 1);
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == 1; }));
  const int opened_links = pair.near.OpenedLinks();
  pair.near.SetOutstanding(true);
  {
    const std::unique_lock<std::mutex> blocked = pair.near.BlockAtAnswers();
    pair.near.Call("b", 2);
    wire::Envelope reply;
    reply.mutable_response_chunk()->set_data(std::string(kReplyBytes, 'x'));
    for (int batch = 0; batch < kMaxBatches && pair.far.Events(SocketEvent::kReplyDropped) == 0;
         ++batch) {
      for (int index = 0; index < kBatch; ++index) {
        pair.far.Transport().Reply(pair.far.LastRoute(), reply);
      }
      test::RunFor(milliseconds(50));
    }
    CPPUNIT_ASSERT(
        test::WaitUntil([&] { return pair.far.Events(SocketEvent::kReplyDropped) > 0; }));
  }
  CPPUNIT_ASSERT(
      test::WaitUntil([&] { return pair.near.OpenedLinks() > opened_links; }, kStability));
  pair.near.Call("b", 3);
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().back() == 3; }));
}

// Guards against a query for a new configuration, or its answer, that waits behind the messages of
// calls at a node whose transport is busy: it times out, and the node keeps its old configuration.
void SendsControlMessagesBeforeCalls(Pair& pair) {
  constexpr std::uint64_t kWaitingCalls = 500;
  // These messages arrive before the thread is blocked.
  constexpr int kCallsBefore = 1;
  {
    const std::unique_lock<std::mutex> blocked = pair.near.BlockAtAnswers();
    pair.near.Call("b", 1);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.IsAtAnswerGate(); }));
    for (std::uint64_t call = 2; call <= kWaitingCalls; ++call) pair.near.Call("b", call);
    wire::Envelope query;
    query.mutable_configuration_query()->set_version(7);
    pair.near.Transport().Send(BackendServerId("b"), std::move(query));
  }
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.far.CallsBeforeControl().has_value(); }));
  CPPUNIT_ASSERT_EQUAL(kCallsBefore, *pair.far.CallsBeforeControl());
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == kWaitingCalls; }));
  const std::vector<std::uint64_t> answers = pair.near.Answers();
  CPPUNIT_ASSERT(std::is_sorted(answers.begin(), answers.end()));
}

// The same for a part of a configuration, which goes back on the link that the query came on.
void SendsControlRepliesBeforeReplies(Pair& pair) {
  constexpr std::uint64_t kWaitingReplies = 500;
  // The call that blocks the thread, and the answer to the first one.
  constexpr int kCallsBefore = 2;
  pair.near.Call("b", 1);
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == 1; }));
  {
    const std::unique_lock<std::mutex> blocked = pair.far.BlockAtAnswers();
    pair.far.Call("a", 1);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.far.IsAtAnswerGate(); }));
    wire::Envelope reply;
    for (std::uint64_t call = 2; call <= kWaitingReplies; ++call) {
      reply.mutable_refused()->set_call_id(call);
      pair.far.Transport().Reply(pair.far.LastRoute(), reply);
    }
    wire::Envelope part;
    part.mutable_configuration_part()->set_version(7);
    pair.far.Transport().Reply(pair.far.LastRoute(), std::move(part));
  }
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.CallsBeforeControl().has_value(); }));
  CPPUNIT_ASSERT_EQUAL(kCallsBefore, *pair.near.CallsBeforeControl());
  CPPUNIT_ASSERT(test::WaitUntil([&] { return pair.near.Answers().size() == kWaitingReplies; }));
  const std::vector<std::uint64_t> answers = pair.near.Answers();
  CPPUNIT_ASSERT(std::is_sorted(answers.begin(), answers.end()));
}

struct TransportCase {
  std::string_view name;
  void (*run)(Pair& pair);
  bool is_encrypted = false;
};

constexpr std::array kCases{
    TransportCase{"interrupted calls", SurvivesInterruptedCalls},
    TransportCase{"interrupted calls, encrypted links", SurvivesInterruptedCalls, true},
    TransportCase{"no free descriptors", OpensLinksWhenDescriptorsAreFree},
    TransportCase{"invalid address", KeepsOtherLinksBesideInvalidAddress},
    TransportCase{"no free descriptors, encrypted links", OpensLinksWhenDescriptorsAreFree, true},
    TransportCase{"messages after stop", IgnoresMessagesAfterStop},
    TransportCase{"dropped reply", ReplacesLinkAfterDroppedReply},
    TransportCase{"control messages before calls", SendsControlMessagesBeforeCalls},
    TransportCase{"control replies before replies", SendsControlRepliesBeforeReplies},
};

void TestTransport(const TransportCase& row) {
  Pair pair(row.is_encrypted);
  pair.Link();
  row.run(pair);
}

const test::TableTest<TransportCase> registration("PeerTransport", kCases, &TestTransport);

}  // namespace

}  // namespace damaskhollow
