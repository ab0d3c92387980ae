#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QHttpServer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTcpServer>
#include <QTemporaryDir>
#include <array>
#include <string>
#include <string_view>

#include "base/reason.h"
#include "support/scriptedserver.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

constexpr int kStartTimeoutMs = 60000;

struct ProgramResult {
  int status = -1;
  QByteArray output;
  QByteArray errors;
};

// Runs `damaskhollow` to its end. The event loop of this thread keeps running, so that a server in
// the test can respond.
ProgramResult RunProgram(const QStringList& arguments) {
  QProcess process;
  QEventLoop loop;
  QObject::connect(&process, &QProcess::finished, &loop, &QEventLoop::quit);
  process.start(QCoreApplication::applicationDirPath() + "/damaskhollow", arguments);
  CPPUNIT_ASSERT(process.waitForStarted(kStartTimeoutMs));
  if (process.state() != QProcess::NotRunning) loop.exec();
  return ProgramResult{process.exitCode(), process.readAllStandardOutput(),
                       process.readAllStandardError()};
}

QString ExamplePath(const char* name) {
  return QString(DAMASKHOLLOW_EXAMPLES_DIR) + "/" + name + ".json";
}

// Writes a copy of the breizh example with the first occurrence of `from` replaced by `to`. Returns
// the path of the copy.
QString WriteModifiedExample(const QTemporaryDir& folder, const QByteArray& from,
                             const QByteArray& to) {
  QFile original(ExamplePath("breizh"));
  CPPUNIT_ASSERT(original.open(QIODevice::ReadOnly));
  const QByteArray text = original.readAll();
  const qsizetype position = text.indexOf(from);
  CPPUNIT_ASSERT(position >= 0);
  QFile modified(folder.filePath("changed.json"));
  CPPUNIT_ASSERT(modified.open(QIODevice::WriteOnly | QIODevice::Truncate));
  QByteArray modified_text = text;
  modified.write(modified_text.replace(position, from.size(), to));
  return modified.fileName();
}

bool Contains(const QByteArray& text, const char* part) { return text.contains(part); }

// Arguments that must be rejected, with the exit status and a part of the error message.
struct RefusedCase {
  const char* arguments;
  int status;
  const char* message;
};

constexpr std::array kRefusedCases{
    RefusedCase{"", 2, "Usage:"},
    RefusedCase{"chekc file", 2, "invalid_setting: chekc"},
    RefusedCase{"check", 2, "invalid_setting: arguments"},
    RefusedCase{"check /no/such/file", 2, "file_unreadable: /no/such/file"},
    RefusedCase{"check --descriptors=0 file", 2, "invalid_setting: --descriptors"},
    RefusedCase{"check --descriptors=many file", 2, "invalid_setting: --descriptors"},
    RefusedCase{"check --caller-connections=-1 file", 2, "invalid_setting: --caller-connections"},
    RefusedCase{"diff /no/such/file /no/such/file", 2, "file_unreadable: /no/such/file"},
    RefusedCase{"diff --colour a b", 2, "invalid_setting: arguments"},
    RefusedCase{"explain no_such_reason", 2, "unknown_reference: no_such_reason"},
    RefusedCase{"status", 2, "invalid_setting: arguments"},
    RefusedCase{"status node.example:80", 2, "invalid_address: node.example:80"},
    RefusedCase{"status --timeout-ms=0 127.0.0.1:1", 2, "invalid_setting: --timeout-ms"},
    RefusedCase{"keygen --secret-key-file=/no/such/folder/key", 2, "file_not_created"},
    RefusedCase{"keygen unexpected", 2, "invalid_setting: arguments"},
};

// Descriptors that nodes may open, and what `check` says to them for the breizh example.
struct DescriptorCase {
  const char* descriptors;
  int status;
  const char* message;
};

constexpr std::array kDescriptorCases{
    DescriptorCase{"4100", 0, "caller connections: 1024 of 1024"},
    DescriptorCase{"256", 1, " of 1024"},
    DescriptorCase{"39", 1, "a node starts with 40 or more"},
};

}  // namespace

class OperatorCommandTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorCommandTest);
  CPPUNIT_TEST(RefusesBadInput);
  CPPUNIT_TEST(PrintsHelpForEachCommand);
  CPPUNIT_TEST(CheckAcceptsExamples);
  CPPUNIT_TEST(CheckNamesFileAndFieldPath);
  CPPUNIT_TEST(CheckTellsMissingDescriptors);
  CPPUNIT_TEST(DiffShowsEffectOfChange);
  CPPUNIT_TEST(ExplainCoversEachReason);
  CPPUNIT_TEST(KeygenNeverOverwrites);
  CPPUNIT_TEST(StatusReportsUnreachableNodes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an exit status of 0 for a mistyped command, which a script takes for success.
  void RefusesBadInput() {
    for (const RefusedCase& row : kRefusedCases) {
      const ProgramResult result =
          RunProgram(QString(row.arguments).split(' ', Qt::SkipEmptyParts));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.arguments, row.status, result.status);
      CPPUNIT_ASSERT_MESSAGE(row.arguments, Contains(result.errors, row.message));
      CPPUNIT_ASSERT_MESSAGE(row.arguments, result.output.isEmpty());
    }
  }

  void PrintsHelpForEachCommand() {
    for (const char* command : {"check", "diff", "status", "explain", "keygen"}) {
      const ProgramResult result = RunProgram({command, "--help"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(command, 0, result.status);
      CPPUNIT_ASSERT_MESSAGE(command, Contains(result.output, "Usage:"));
      CPPUNIT_ASSERT_MESSAGE(command, Contains(RunProgram({"--help"}).output, command));
    }
  }

  // Guards against examples that no longer match the declaration format.
  void CheckAcceptsExamples() {
    for (const char* name : {"breizh", "slamkorsel"}) {
      const ProgramResult result = RunProgram({"check", ExamplePath(name)});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.errors.toStdString(), 0, result.status);
    }
  }

  void CheckNamesFileAndFieldPath() {
    const QTemporaryDir folder;
    const QString file = WriteModifiedExample(folder, "\"slots\": 9", "\"slotz\": 9");
    const ProgramResult result = RunProgram({"check", file});
    CPPUNIT_ASSERT_EQUAL(1, result.status);
    const QByteArray path = file.toUtf8() + ": backend_servers[0].slot";
    CPPUNIT_ASSERT(result.errors.contains("missing_field: " + path + "s:"));
    CPPUNIT_ASSERT(result.errors.contains("unknown_field: " + path + "z:"));
  }

  // Guards against a fleet that is rolled out with a limit of descriptors too low for its size,
  // which shows only when callers are refused.
  void CheckTellsMissingDescriptors() {
    for (const DescriptorCase& row : kDescriptorCases) {
      const ProgramResult result =
          RunProgram({"check", "--descriptors=" + QString(row.descriptors), ExamplePath("breizh")});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.descriptors, row.status, result.status);
      const QByteArray& text = row.status == 0 ? result.output : result.errors;
      CPPUNIT_ASSERT_MESSAGE(text.toStdString(), Contains(text, row.message));
    }
  }

  void DiffShowsEffectOfChange() {
    const QTemporaryDir folder;
    const QString file = WriteModifiedExample(folder, "\"slots\": 9", "\"slots\": 12");
    const ProgramResult text = RunProgram({"diff", ExamplePath("breizh"), file});
    CPPUNIT_ASSERT_EQUAL(0, text.status);
    CPPUNIT_ASSERT(Contains(text.output, "backend server portail-1: slots changes from 9 to 12"));
    const ProgramResult json = RunProgram({"diff", "--json", ExamplePath("breizh"), file});
    const QJsonArray changes = QJsonDocument::fromJson(json.output)["changes"].toArray();
    CPPUNIT_ASSERT_EQUAL(qsizetype{1}, changes.size());
    CPPUNIT_ASSERT(changes[0].toObject()["field"] == "slots");
    CPPUNIT_ASSERT(changes[0].toObject()["after"] == "12");
    const ProgramResult same = RunProgram({"diff", ExamplePath("breizh"), ExamplePath("breizh")});
    CPPUNIT_ASSERT_EQUAL(std::string("no change\n"), same.output.toStdString());
  }

  // Guards against a reason that nodes send in a header but `damaskhollow explain` does not list.
  void ExplainCoversEachReason() {
    const QJsonArray list =
        QJsonDocument::fromJson(RunProgram({"explain", "--json"}).output).array();
    CPPUNIT_ASSERT_EQUAL(ReasonTable().size(), static_cast<std::size_t>(list.size()));
    const ProgramResult one = RunProgram({"explain", "queue_full_time"});
    CPPUNIT_ASSERT_EQUAL(0, one.status);
    CPPUNIT_ASSERT(one.output.startsWith("queue_full_time (not-run, HTTP 503"));
  }

  // Guards against overwriting the key of a running node, and against a secret key file that other
  // users can read.
  void KeygenNeverOverwrites() {
    const QTemporaryDir folder;
    const QString path = folder.filePath("secret");
    const ProgramResult first = RunProgram({"keygen", "--secret-key-file=" + path});
    CPPUNIT_ASSERT_EQUAL(0, first.status);
    constexpr qsizetype kZ85KeyLength = 40;
    CPPUNIT_ASSERT_EQUAL(kZ85KeyLength, first.output.trimmed().size());
    constexpr QFile::Permissions kGroupAndOthers =
        QFile::ReadGroup | QFile::WriteGroup | QFile::ReadOther | QFile::WriteOther;
    CPPUNIT_ASSERT(!(QFile::permissions(path) & kGroupAndOthers));
    QFile file(path);
    CPPUNIT_ASSERT(file.open(QIODevice::ReadOnly));
    const QByteArray secret = file.readAll();
    const ProgramResult second = RunProgram({"keygen", "--secret-key-file=" + path});
    CPPUNIT_ASSERT_EQUAL(2, second.status);
    CPPUNIT_ASSERT(Contains(second.errors, "file_not_created"));
    file.seek(0);
    CPPUNIT_ASSERT(file.readAll() == secret);
  }

  // Guards against an unreachable node that is shown like an idle one.
  void StatusReportsUnreachableNodes() {
    QHttpServer server;
    server.route("/status", [] {
      return QHttpServerResponse(QJsonObject{{"server", "portail-1"}, {"draining", true}});
    });
    const QString reachable_node =
        "127.0.0.1:" + QString::number(server.listen(QHostAddress::LocalHost));
    QTcpServer unused;
    CPPUNIT_ASSERT(unused.listen(QHostAddress::LocalHost));
    const QString unreachable_node = "127.0.0.1:" + QString::number(unused.serverPort());
    unused.close();

    const ProgramResult table = RunProgram({"status", reachable_node});
    CPPUNIT_ASSERT_EQUAL(0, table.status);
    CPPUNIT_ASSERT(Contains(table.output, "portail-1"));
    const ProgramResult json = RunProgram({"status", "--json", reachable_node, unreachable_node});
    CPPUNIT_ASSERT_EQUAL(1, json.status);
    const QJsonArray list = QJsonDocument::fromJson(json.output).array();
    CPPUNIT_ASSERT_EQUAL(qsizetype{2}, list.size());
    CPPUNIT_ASSERT(list[0]["status"]["server"] == "portail-1");
    CPPUNIT_ASSERT(list[1]["failure"]["code"] == "unavailable");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCommandTest);

namespace {

struct BrokenStatusRow {
  std::string_view name;
  std::string_view status_line;
  int exit_status;
};

constexpr std::array kBrokenStatusRows{
    BrokenStatusRow{"success", "HTTP/1.1 200 OK\r\n", 0},
    BrokenStatusRow{"status 000", "HTTP/1.1 000 OK\r\n", 1},
    BrokenStatusRow{"no content", "HTTP/1.1 204 No Content\r\n", 1},
    BrokenStatusRow{"redirect", "HTTP/1.1 302 Found\r\n", 1},
    BrokenStatusRow{"status 600", "HTTP/1.1 600 OK\r\n", 1},
};

// Guards against a response without success that is shown as the status of a node.
void TestBrokenStatus(const BrokenStatusRow& row) {
  const test::ScriptedServer node(
      {std::string(row.status_line) + "Content-Length: 14\r\n\r\n{\"server\":\"x\"}"},
      test::ScriptedServer::End::kClose);
  const ProgramResult result =
      RunProgram({"status", "--json", QString::fromStdString(ToString(node.Address()))});
  CPPUNIT_ASSERT_EQUAL(row.exit_status, result.status);
  CPPUNIT_ASSERT_EQUAL(row.exit_status == 0, Contains(result.output, "\"server\""));
}

const test::TableTest<BrokenStatusRow> broken_test("StatusBroken", kBrokenStatusRows,
                                                   &TestBrokenStatus);

}  // namespace

}  // namespace damaskhollow
