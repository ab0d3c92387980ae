#include <cppunit/TestAssert.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <array>
#include <memory>
#include <string>
#include <string_view>

#include "ingress/refusedcaller.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

constexpr char kResponse[] = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// How the refusal ends.
enum class Ending { kByItself, kDestroyed, kAtOnce };

struct RefusalRow {
  std::string_view name;
  std::string_view request;
  Ending ending;
};

constexpr std::array kRows{
    RefusalRow{"whole request", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", Ending::kByItself},
    RefusalRow{"request with a body", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
               Ending::kByItself},
    RefusalRow{"part of a body", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab",
               Ending::kByItself},
    RefusalRow{"part of a head", "GET /x HT", Ending::kByItself},
    RefusalRow{"no request", "", Ending::kByItself},
    RefusalRow{"bytes that are no request", "\x01\x02\r\n\r\n", Ending::kByItself},
    RefusalRow{"destroyed before the request", "", Ending::kDestroyed},
    RefusalRow{"destroyed in the head", "GET /x HT", Ending::kDestroyed},
    RefusalRow{"at once, whole request", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", Ending::kAtOnce},
    RefusalRow{"at once, no request", "", Ending::kAtOnce},
};

// Refuses the connections that it accepts.
class RefusingServer : public QTcpServer {
 public:
  explicit RefusingServer(Ending ending) : m_ending(ending) { listen(QHostAddress::LocalHost); }

  int Ended() const { return m_ended; }
  bool HasCaller() const { return m_has_caller; }
  void DestroyCaller() { m_caller.reset(); }

 protected:
  void incomingConnection(qintptr descriptor) override {
    m_has_caller = true;
    if (m_ending == Ending::kAtOnce) {
      // The request has arrived by now.
      test::RunFor(std::chrono::milliseconds(20));
      return RefuseAtOnce(static_cast<int>(descriptor), kResponse);
    }
    m_caller = std::make_unique<RefusedCaller>(descriptor, kResponse, [this] {
      ++m_ended;
      m_caller.release()->deleteLater();
    });
  }

 private:
  const Ending m_ending;
  bool m_has_caller = false;
  int m_ended = 0;
  std::unique_ptr<RefusedCaller> m_caller;
};

// Guards against a refused caller that gets a reset instead of the response, and against one whose
// end is reported to an owner that is being destroyed.
void RespondsAndCloses(const RefusalRow& row) {
  RefusingServer server(row.ending);
  QTcpSocket caller;
  caller.connectToHost(QHostAddress::LocalHost, server.serverPort());
  caller.write(row.request.data(), static_cast<qint64>(row.request.size()));
  CPPUNIT_ASSERT(test::WaitUntil([&] { return server.HasCaller(); }));
  if (row.ending == Ending::kDestroyed) server.DestroyCaller();
  CPPUNIT_ASSERT(
      test::WaitUntil([&] { return caller.state() == QAbstractSocket::UnconnectedState; }));
  CPPUNIT_ASSERT_EQUAL(std::string(kResponse), caller.readAll().toStdString());
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(QAbstractSocket::RemoteHostClosedError),
                       static_cast<int>(caller.error()));
  const int expected = row.ending == Ending::kByItself ? 1 : 0;
  CPPUNIT_ASSERT_EQUAL(expected, server.Ended());
}

const test::TableTest<RefusalRow> registration("RefusedCaller", kRows, &RespondsAndCloses);

}  // namespace

}  // namespace damaskhollow
