#include <cppunit/TestAssert.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "support/platformfleet.h"
#include "support/rawclient.h"
#include "support/responsegrammar.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::size_t kMinCalls = 20;
constexpr std::size_t kFaulty = 0;  // The instance of this node is replaced.
constexpr std::string_view kOrderRoute =
    R"(,{"name":"order","hostname":"shop.test","prefix":"/order/","routeType":"unsafe",)"
    R"("service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})";
// Marks the bytes of the faulty instance; no sound response contains it.
constexpr std::string_view kBrokenMark = "broken";

// Returns the value of a request's header field; the request must have it.
std::string FieldOf(std::string_view request, std::string_view name) {
  const std::size_t start = request.find(std::string(name) + ": ") + name.size() + 2;
  return std::string(request.substr(start, request.find("\r\n", start) - start));
}

// An instance that passes its health check and answers all other requests with the same bytes, in
// which the text {id} stands for the id of the request. Closes the connection after the response.
class BrokenInstance : public QTcpServer {
 public:
  BrokenInstance(const std::string& ip, std::string_view response) : m_response(response) {
    CPPUNIT_ASSERT(listen(QHostAddress(QString::fromStdString(ip))));
  }

  std::size_t Requests() const { return m_requests; }

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new QTcpSocket(this);
    socket->setSocketDescriptor(descriptor);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
      const std::string request = socket->readAll().toStdString();
      if (request.find("\r\n\r\n") == std::string::npos) return;
      const std::string response = ResponseTo(request);
      socket->write(response.data(), static_cast<qint64>(response.size()));
      socket->disconnectFromHost();
    });
  }

 private:
  std::string ResponseTo(std::string_view request) {
    constexpr std::string_view kIdMark = "{id}";
    if (request.starts_with("GET /healthz ")) {
      return "HTTP/1.1 200 OK\r\nInstance-Id: faulty\r\nInstance-Load: 1,0,9,100\r\n"
             "Content-Length: 0\r\n\r\n";
    }
    ++m_requests;
    const std::string id = FieldOf(request, "Request-Id");
    std::string response(m_response);
    for (std::size_t mark = response.find(kIdMark); mark != std::string::npos;
         mark = response.find(kIdMark)) {
      response.replace(mark, kIdMark.size(), id);
    }
    return response;
  }

  const std::string_view m_response;
  std::size_t m_requests = 0;
};

struct BrokenCase {
  std::string_view name;
  std::string_view rule;  // As logged.
  std::string_view response;
};

constexpr std::array kCases{
    BrokenCase{"status 000", "status",
               "HTTP/1.1 000 OK\r\nRequest-Id: {id}\r\nResponse-Seal: broken-{id}\r\n"
               "Content-Length: 6\r\n\r\nbroken"},
    BrokenCase{"status 000 without id, seal and length", "status", "HTTP/1.1 000 OK\r\n\r\nbroken"},
    BrokenCase{"status 999", "status",
               "HTTP/1.1 999 OK\r\nRequest-Id: {id}\r\nResponse-Seal: broken-{id}\r\n"
               "Content-Length: 6\r\n\r\nbroken"},
    BrokenCase{"seal in the trailer", "missing_marker",
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
               "6\r\nbroken\r\n0\r\nResponse-Seal: seal-{id}\r\n\r\n"},
    BrokenCase{"blank before a name behind the seal", "line_folding",
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\n X: broken\r\n"
               "Content-Length: 6\r\n\r\nbroken"},
    BrokenCase{"blank before the name of the coding", "line_folding",
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
               " Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
    BrokenCase{"switched protocol", "protocol_switch",
               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
               "Content-Length: 6\r\n\r\nbroken"},
    BrokenCase{"unknown transfer coding", "transfer_coding",
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
               "Transfer-Encoding: gzip, chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
    BrokenCase{"seal named by Connection", "missing_marker",
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
               "Connection: close, Response-Seal\r\nContent-Length: 6\r\n\r\nbroken"},
    BrokenCase{"blank in a name", "syntax",
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\nX Y: 1\r\n"
               "Content-Length: 6\r\n\r\nbroken"},
    BrokenCase{"control byte in a name", "syntax",
               "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\nX\x01Y: 1\r\n"
               "Content-Length: 6\r\n\r\nbroken"},
};

// Replaces an instance in the store by one at another address.
void PutInstead(PlatformFleet& fleet, std::size_t index, const BrokenInstance& instance) {
  const std::string address =
      fleet.Instance(index).Address().address + ":" + std::to_string(instance.serverPort());
  fleet.DeleteInstance(index);
  fleet.Store().Put("servers/faulty",
                    R"({"service":"portal","address":")" + address +
                        R"(","zone":"west-1","configVersion":"v1","slots":9,"state":"ready",)"
                        R"("cold":"0ms","seq":1,"born":1700000000000})");
}

// Sends a request on a connection of its own and returns all bytes that the caller received.
std::string CallRaw(PlatformFleet& fleet, std::size_t node, std::string_view request_line,
                    const std::string& id) {
  RawClient caller(fleet.OutboundAddress(node));
  caller.Send(std::string(request_line) + " HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: " + id +
              "\r\nDeadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  CPPUNIT_ASSERT(caller.WaitForClose());
  return caller.Received();
}

// Checks the bytes that a caller received: the response of the sound instance, or a failure of the
// node that does not deny that the request was run.
void CheckReceived(const std::string& id, const std::string& received) {
  const std::string text = id + " got: " + received;
  CPPUNIT_ASSERT_MESSAGE(text, StartsWithValidHead(received));
  CPPUNIT_ASSERT_MESSAGE(text, received.find(kBrokenMark) == std::string::npos);
  const bool has_own_seal =
      received.find("\r\nResponse-Seal: seal-" + id + "\r\n") != std::string::npos;
  const bool has_no_seal = received.find("\r\nResponse-Seal:") == std::string::npos;
  const bool is_sound = received.starts_with("HTTP/1.1 200 ") && has_own_seal;
  const bool is_failure = received.starts_with("HTTP/1.1 502 ") && has_no_seal;
  CPPUNIT_ASSERT_MESSAGE(text, is_sound || is_failure);
}

// Guards against a broken response of an instance that reaches a caller as a response.
void CallersGetNoBrokenAnswer(const BrokenCase& row) {
  for (const std::string_view line : {"GET /look/x", "POST /order/x"}) {
    PlatformFleet fleet;
    CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
    fleet.PutConfiguration(2, kOrderRoute);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return fleet.Call(0, "POST", "/order/first").status == 200 &&
             fleet.Call(1, "POST", "/order/first").status == 200;
    }));
    BrokenInstance instance(fleet.Instance(kFaulty).Address().address, row.response);
    PutInstead(fleet, kFaulty, instance);
    // Nodes use the instance only from some time on, and rarely after its first responses.
    std::size_t calls = 0;
    CPPUNIT_ASSERT(WaitUntil([&] {
      const std::string id = "raw-" + std::to_string(calls);
      CheckReceived(id, CallRaw(fleet, calls % fleet.Size(), line, id));
      return ++calls >= kMinCalls && instance.Requests() > 0;
    }));
    const std::string line_end = " rule=" + std::string(row.rule) + "\n";
    CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Output().find(line_end) != std::string::npos);
  }
}

const TableTest<BrokenCase> registration("BrokenAnswers", kCases, &CallersGetNoBrokenAnswer);

}  // namespace

}  // namespace damaskhollow::test
