#include <cppunit/TestAssert.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <array>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// Nodes stop using faulty instances only while these are fewer than half of the service.
constexpr std::size_t kNodes = 5;
constexpr std::size_t kFaulty = 2;  // The instances of the first nodes.
constexpr std::chrono::milliseconds kCallTime{10000};
constexpr std::chrono::milliseconds kCallInterval{25};
// The least memory that the users' pages give a node.
constexpr std::size_t kMemoryKilobytes = 160UL * 1024UL;

// An instance that answers each request with `start` and then with `repeated` without end, until
// the caller closes.
class EndlessInstance : public QTcpServer {
 public:
  EndlessInstance(const std::string& ip, std::string start, std::string repeated)
      : m_start(std::move(start)), m_repeated(std::move(repeated)) {
    CPPUNIT_ASSERT(listen(QHostAddress(QString::fromStdString(ip))));
  }

  std::size_t SentBytes() const { return m_sent_bytes; }

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new QTcpSocket(this);
    socket->setSocketDescriptor(descriptor);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket] { Repeat(*socket); });
    connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
      if (!socket->readAll().contains("\r\n\r\n")) return;
      socket->write(m_start.data(), static_cast<qint64>(m_start.size()));
      Repeat(*socket);
    });
  }

 private:
  void Repeat(QTcpSocket& socket) {
    if (socket.bytesToWrite() > 0) return;
    m_sent_bytes += m_repeated.size();
    socket.write(m_repeated.data(), static_cast<qint64>(m_repeated.size()));
  }

  const std::string m_start;
  const std::string m_repeated;
  std::size_t m_sent_bytes = 0;
};

struct EndlessCase {
  std::string_view name;
  std::string_view start;
  std::string_view repeated;
};

constexpr std::array kCases{
    EndlessCase{"no status line", "", "x"},
    EndlessCase{"header field", "HTTP/1.1 200 OK\r\nX: ", "x"},
    EndlessCase{"header fields", "HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
    EndlessCase{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    EndlessCase{"body without length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    EndlessCase{"chunks of another request's answer",
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
                "4\r\nxxxx\r\n"},
};

std::string Repeated(std::string_view text) {
  constexpr std::size_t kBlockBytes = 65536;
  std::string block;
  while (block.size() < kBlockBytes) block += text;
  return block;
}

// Replaces the instances of the first nodes in the store by ones that send endless bytes.
std::vector<std::unique_ptr<EndlessInstance>> PutFaultyInstances(PlatformFleet& fleet,
                                                                 const EndlessCase& row) {
  std::vector<std::unique_ptr<EndlessInstance>> instances;
  for (std::size_t index = 0; index < kFaulty; ++index) {
    const std::string& ip = fleet.Instance(index).Address().address;
    instances.push_back(
        std::make_unique<EndlessInstance>(ip, std::string(row.start), Repeated(row.repeated)));
    fleet.DeleteInstance(index);
    fleet.Store().Put("servers/faulty-" + std::to_string(index),
                      R"({"service":"portal","address":")" + ip + ":" +
                          std::to_string(instances.back()->serverPort()) +
                          R"(","zone":"west-1","configVersion":"v1","slots":9,"state":"ready",)" +
                          R"("cold":"0ms","seq":1,"born":1700000000000})");
  }
  return instances;
}

// Guards against a faulty instance whose endless bytes a node keeps until it is out of memory, so
// that the calls of all its callers end with it.
void BoundsMemory(const EndlessCase& row) {
  PlatformFleet fleet({.nodes = kNodes});
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  const std::vector<std::unique_ptr<EndlessInstance>> instances = PutFaultyInstances(fleet, row);
  CPPUNIT_ASSERT(WaitUntil([&] {
    fleet.Call(0, "GET", "/look/first");
    return instances.front()->SentBytes() > 0;
  }));
  std::size_t sent = 0;
  std::size_t ended = 0;
  std::size_t served = 0;
  std::size_t without_answer = 0;
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
    const std::string_view method = sent % 2 == 0 ? "GET" : "POST";
    fleet.Send(sent % kNodes, method, "/look/x", [&](const HttpResponse& response) {
      ++ended;
      served += response.status == 200 && response.complete ? 1 : 0;
      without_answer += response.status == 0 || !response.complete ? 1 : 0;
    });
    ++sent;
  });
  timer.start(kCallInterval);
  RunFor(kCallTime);
  timer.stop();
  CPPUNIT_ASSERT(WaitUntil([&] { return ended == sent; }));
  std::string text = std::to_string(served) + " of " + std::to_string(sent) + " calls served, " +
                     std::to_string(without_answer) + " without answer; peak KB:";
  for (std::size_t node = 0; node < kNodes; ++node) {
    CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Node(node).IsRunning());
    const std::size_t peak = fleet.Node(node).PeakResidentKilobytes();
    text += " " + std::to_string(peak);
    CPPUNIT_ASSERT_MESSAGE(text, peak < kMemoryKilobytes);
  }
  std::cout << "  " << row.name << ": " << text << std::endl;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, without_answer);
  CPPUNIT_ASSERT_MESSAGE(text, served > sent / 2);
}

const TableTest<EndlessCase> registration("EndlessBytes", kCases, &BoundsMemory);

}  // namespace

}  // namespace damaskhollow::test
