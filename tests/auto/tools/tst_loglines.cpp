#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QFile>
#include <QProcess>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <set>
#include <string>
#include <vector>

#include "support/freeport.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

std::string ReadAll(const QString& name) {
  QFile file(name);
  CPPUNIT_ASSERT(file.open(QIODevice::ReadOnly));
  return file.readAll().toStdString();
}

// The names in the first column of the table of log fields in docs/OPERATIONS.md.
std::set<std::string> DocumentedFields() {
  const std::string page = ReadAll(QString(DAMASKHOLLOW_DOCS_DIR) + "/OPERATIONS.md");
  std::size_t position = page.find("## Fields of log lines");
  CPPUNIT_ASSERT(position != std::string::npos);
  const std::size_t end = page.find("\n## ", position + 1);
  std::set<std::string> fields;
  while ((position = page.find("\n| `", position)) < end) {
    const std::size_t start = position + 4;
    fields.insert(page.substr(start, page.find('`', start) - start));
    position = start;
  }
  return fields;
}

// The names of the fields of a log line. Quoted values may contain spaces.
std::vector<std::string> FieldNames(const std::string& line) {
  std::vector<std::string> fields;
  std::size_t position = 0;
  while (position < line.size()) {
    const std::size_t equals = line.find('=', position);
    CPPUNIT_ASSERT_MESSAGE(line, equals != std::string::npos);
    fields.push_back(line.substr(position, equals - position));
    const bool is_quoted = equals + 1 < line.size() && line[equals + 1] == '"';
    const std::size_t end = is_quoted ? line.find('"', equals + 2) + 1 : line.find(' ', equals);
    position = end == std::string::npos ? line.size() : end + 1;
  }
  return fields;
}

}  // namespace

class LogLinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogLinesTest);
  CPPUNIT_TEST(EachFieldIsDocumented);
  CPPUNIT_TEST(StalledLogReaderDoesNotBlockCalls);
  CPPUNIT_TEST(TraceSortsLinesOfOneRequestByTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against log fields that are missing in the documentation. Starts a node, sends calls
  // that fail in three ways, stops the node and checks each line that it logged.
  void EachFieldIsDocumented() {
    Start();
    SendRequest(
        "GET /pages HTTP/1.1\r\nHost: portail.breizh.example\r\nDamaskhollow-Request-Id: "
        "1-a\r\n\r\n");
    SendRequest("GET /pages HTTP/1.1\r\nHost: unknown.example\r\n\r\n");
    SendRequest(
        "GET /pages HTTP/1.1\r\nHost: portail.breizh.example\r\nDamaskhollow-Deadline-Ms: "
        "x\r\n\r\n");
    m_process.terminate();
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_process.state() == QProcess::NotRunning; }));
    const std::set<std::string> documented = DocumentedFields();
    CPPUNIT_ASSERT(documented.size() > 10);
    std::set<std::string> events;
    for (const QByteArray& line : m_process.readAllStandardOutput().split('\n')) {
      if (line.isEmpty()) continue;
      const std::string text = line.toStdString();
      for (const std::string& field : FieldNames(text)) {
        CPPUNIT_ASSERT_MESSAGE(text, documented.contains(field));
      }
      const std::size_t event = text.find("event=") + 6;
      events.insert(text.substr(event, text.find(' ', event) - event));
    }
    for (const char* event : {"started", "in_force", "call_failed", "stopping", "stopped"}) {
      CPPUNIT_ASSERT_MESSAGE(event, events.contains(event));
    }
  }

  // Guards against calls that block on logging when nothing reads the standard output of the node.
  void StalledLogReaderDoesNotBlockCalls() {
    QProcess reader;
    m_process.setStandardOutputProcess(&reader);
    reader.start("sleep", {"60"});
    Start();
    constexpr int kCalls = 4000;  // Logs several times what the pipe and the log queue hold.
    for (int batch = 0; batch < kCalls / 100; ++batch) {
      std::string requests;
      for (int index = 0; index < 100; ++index) {
        requests += "GET /x HTTP/1.1\r\nHost: unknown.example\r\n\r\n";
      }
      CPPUNIT_ASSERT_EQUAL(100, SendRequests(requests, 100));
    }
    m_process.kill();
    m_process.waitForFinished();
    reader.kill();
    reader.waitForFinished();
  }

  void TraceSortsLinesOfOneRequestByTime() {
    const QTemporaryDir folder;
    const auto write = [&](const char* name, const char* text) {
      QFile file(folder.filePath(name));
      CPPUNIT_ASSERT(file.open(QIODevice::WriteOnly));
      file.write(text);
      return file.fileName();
    };
    const QString ingress = write("ingress",
                                  "time=1 event=received request=r1\ntime=2 event=sent request=r2\n"
                                  "time=4 event=answered request=r1\n");
    const QString owner = write("owner", "time=3 event=dispatched request=r1\n");
    QProcess trace;
    trace.start(QCoreApplication::applicationDirPath() + "/damaskhollow",
                {"trace", "r1", ingress, owner});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return trace.state() == QProcess::NotRunning; }));
    CPPUNIT_ASSERT_EQUAL(0, trace.exitCode());
    const QByteArray output = trace.readAllStandardOutput();
    const QList<QByteArray> lines = output.trimmed().split('\n');
    CPPUNIT_ASSERT_EQUAL(qsizetype{3}, lines.size());
    CPPUNIT_ASSERT(lines[0].contains("received") && lines[1].contains("dispatched") &&
                   lines[2].contains("answered"));
  }

 private:
  void Start() {
    m_listen_endpoint = test::FreeEndpoint();
    const auto address = [](const Endpoint& endpoint) {
      return QString::fromStdString(ToString(endpoint));
    };
    m_process.start(
        QCoreApplication::applicationDirPath() + "/damaskhollow-node",
        {"--server-id=portail-1", "--region=finistere", "--data-centre=brest",
         "--listen=" + address(m_listen_endpoint), "--peer-listen=" + address(test::FreeEndpoint()),
         "--admin-listen=" + address(test::FreeEndpoint()), "--workers=1", "--drain-announce-ms=0",
         "--drain-timeout-ms=1000",
         QString("--declaration-file=") + DAMASKHOLLOW_EXAMPLES_DIR + "/breizh.json"});
    CPPUNIT_ASSERT(m_process.waitForStarted());
    CPPUNIT_ASSERT(test::WaitUntil([&] {
      QTcpSocket socket;
      socket.connectToHost("127.0.0.1", m_listen_endpoint.port);
      return socket.waitForConnected(1000);
    }));
  }

  void SendRequest(const std::string& request) {
    CPPUNIT_ASSERT_EQUAL(1, SendRequests(request, 1));
  }

  // Sends `count` requests on one connection and returns the number of responses received.
  int SendRequests(const std::string& requests, int count) {
    QTcpSocket socket;
    socket.connectToHost("127.0.0.1", m_listen_endpoint.port);
    CPPUNIT_ASSERT(socket.waitForConnected());
    socket.write(requests.data(), static_cast<qint64>(requests.size()));
    QByteArray received;
    test::WaitUntil([&] {
      received += socket.readAll();
      return received.count("HTTP/1.1 ") >= count;
    });
    return static_cast<int>(received.count("HTTP/1.1 "));
  }

  QProcess m_process;
  Endpoint m_listen_endpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogLinesTest);

}  // namespace damaskhollow
