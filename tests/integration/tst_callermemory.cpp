#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "support/fleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// Limit for the resident memory of a node process, 32 MiB, which is set in CONTRIBUTING.md.
constexpr std::size_t kMemoryKilobytes = 32UL * 1024UL;
// A node needs some tens of descriptors beside one for each caller.
constexpr std::size_t kMaxDescriptors = 128;
// The load ends when everything is sent, and at the latest after this time, as a node may rightly
// stop reading.
constexpr std::chrono::seconds kLoadTime{5};
constexpr std::chrono::milliseconds kPause{1};
constexpr std::size_t kBlockBytes = 65536;
constexpr int kReceiveBufferBytes = 4096;

// A caller that sends as fast as the node reads, and reads at most a fixed number of bytes per
// step.
class GreedyCaller {
 public:
  GreedyCaller(const Endpoint& node, std::string start, std::string repeated, std::size_t max_bytes)
      : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
        m_pending(std::move(start)),
        m_repeated(std::move(repeated)),
        m_max_bytes(max_bytes) {
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                 sizeof(kReceiveBufferBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(node.port);
    ::inet_pton(AF_INET, node.address.c_str(), &address.sin_addr);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(m_socket, generic, sizeof(address)));
    ::fcntl(m_socket, F_SETFL, O_NONBLOCK);
  }
  ~GreedyCaller() { ::close(m_socket); }
  GreedyCaller(const GreedyCaller&) = delete;
  GreedyCaller& operator=(const GreedyCaller&) = delete;

  // Sends what the node accepts now and reads up to `read_bytes`. Returns false when everything is
  // sent or the node has closed the connection.
  bool Step(std::size_t read_bytes) {
    std::array<char, 4096> buffer{};
    if (read_bytes > 0) ::recv(m_socket, buffer.data(), std::min(read_bytes, buffer.size()), 0);
    while (m_sent < m_max_bytes) {
      if (m_pending.empty()) m_pending = m_repeated;
      const ssize_t count =
          ::send(m_socket, m_pending.data(), m_pending.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0) return errno == EAGAIN;
      m_sent += static_cast<std::size_t>(count);
      m_pending.erase(0, static_cast<std::size_t>(count));
    }
    return read_bytes > 0;
  }

  std::size_t Sent() const { return m_sent; }

 private:
  const int m_socket;
  std::string m_pending;
  const std::string m_repeated;
  const std::size_t m_max_bytes;
  std::size_t m_sent = 0;
};

struct MemoryCase {
  std::string_view name;
  std::string_view start;
  std::string_view repeated;
  std::size_t callers;
  std::size_t max_bytes;   // Sent by each caller, rounded up to a whole block.
  std::size_t read_bytes;  // Read by each caller per millisecond.
};

constexpr std::string_view kChunkedBody =
    "POST /book HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
constexpr std::string_view kChunkedTrailerLine =
    "POST /book HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    "X: ";
constexpr std::string_view kChunkExtension =
    "POST /book HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n1;";
constexpr std::string_view kSmallRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view kLargeResponse =
    "GET /read?ms=0&bytes=4000000 HTTP/1.1\r\nHost: shop.test\r\n\r\n";
constexpr std::size_t kMegabyte = 1024UL * 1024UL;

constexpr std::array kCases{
    MemoryCase{"trailer lines", kChunkedBody, "X: 1\r\n", 16, 4 * kMegabyte, 0},
    MemoryCase{"trailer line", kChunkedTrailerLine, "x", 16, 4 * kMegabyte, 0},
    MemoryCase{"chunk extension", kChunkExtension, "x", 16, 4 * kMegabyte, 0},
    MemoryCase{"pipelined requests, responses unread", "", kSmallRequest, 16, kMegabyte, 0},
    MemoryCase{"large responses read slowly", "", kLargeResponse, 8, 8 * kLargeResponse.size(),
               1024},
};

std::string Repeated(std::string_view text) {
  std::string block;
  while (block.size() < kBlockBytes) block += text;
  return block;
}

// Guards against a node that keeps an unlimited number of bytes for a few callers, so that it runs
// out of memory and the calls of all callers end with it.
void BoundsMemory(const MemoryCase& row) {
  Fleet fleet({.servers = SmallFleet(1),
               .node_arguments = {"--workers=1", "--body-memory-bytes=1048576"},
               .max_body_bytes = static_cast<int>(kMegabyte)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  const std::size_t peak_before = fleet.Node(0).PeakResidentKilobytes();
  std::vector<std::unique_ptr<GreedyCaller>> callers;
  while (callers.size() < row.callers) {
    callers.push_back(std::make_unique<GreedyCaller>(fleet.Caller(0), std::string(row.start),
                                                     Repeated(row.repeated), row.max_bytes));
  }
  const auto end = std::chrono::steady_clock::now() + kLoadTime;
  for (bool is_active = true; is_active && std::chrono::steady_clock::now() < end;) {
    is_active = false;
    for (const auto& caller : callers) is_active |= caller->Step(row.read_bytes);
    std::this_thread::sleep_for(kPause);
  }
  const HttpResponse response = fleet.Call(0, "GET", "/read?ms=0&bytes=10");
  const std::size_t peak = fleet.Node(0).PeakResidentKilobytes();
  const std::size_t descriptors = fleet.Node(0).OpenDescriptors();
  std::size_t sent = 0;
  for (const auto& caller : callers) sent += caller->Sent();
  const std::string text = "peak " + std::to_string(peak_before) + " KB, then " +
                           std::to_string(peak) + " KB; " + std::to_string(descriptors) +
                           " descriptors; " + std::to_string(sent) + " bytes sent; " +
                           response.Describe();
  std::cout << "  " << row.name << ": " << text << std::endl;
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Node(0).IsRunning());
  CPPUNIT_ASSERT_MESSAGE(text, peak > 0 && peak < kMemoryKilobytes);
  CPPUNIT_ASSERT_MESSAGE(text, descriptors > 0 && descriptors < kMaxDescriptors);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("answered"), response.Outcome());
}

// Callers that stay within the limit of each connection but not within that of the process.
constexpr std::array kBudgetCases{
    MemoryCase{"responses unread on many connections", "", kSmallRequest, 16, kMegabyte, 0},
};

// Guards against connections that are each within their limit but together exceed the memory of the
// machine.
void ClosesLargestCallers(const MemoryCase& row) {
  // A quarter, 2 MB, is for callers; 16 connections may hold 256 KB each.
  Fleet fleet({.servers = SmallFleet(1), .node_arguments = {"--memory-bytes=8000000"}});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  std::vector<std::unique_ptr<GreedyCaller>> callers;
  while (callers.size() < row.callers) {
    callers.push_back(std::make_unique<GreedyCaller>(fleet.Caller(0), std::string(row.start),
                                                     Repeated(row.repeated), row.max_bytes));
  }
  const bool are_closed = WaitUntil([&] {
    for (const auto& caller : callers) caller->Step(row.read_bytes);
    return fleet.Metric(0, "damaskhollow_callers_closed_for_memory_total") > 0;
  });
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), are_closed);
  CPPUNIT_ASSERT(fleet.Node(0).Output().find("callers_closed_for_memory") != std::string::npos);
  const HttpResponse response = fleet.Call(0, "GET", "/read?ms=0&bytes=10");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), std::string("answered"), response.Outcome());
}

const TableTest<MemoryCase> budget_registration("CallerMemoryBudget", kBudgetCases,
                                                &ClosesLargestCallers);

const TableTest<MemoryCase> registration("CallerMemory", kCases, &BoundsMemory);

}  // namespace

}  // namespace damaskhollow::test
