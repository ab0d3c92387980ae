#include <cppunit/TestAssert.h>

#include <QTemporaryDir>
#include <array>
#include <chrono>
#include <string>
#include <string_view>

#include "support/process.h"
#include "support/tabletest.h"

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kExitTimeout{20000};

struct BoundaryCase {
  std::string_view name;  // The place in which tests/support/throwing-program throws.
};

constexpr std::array kCases{
    BoundaryCase{"task"},     BoundaryCase{"task, no exception type"},
    BoundaryCase{"timer"},    BoundaryCase{"timer of a thread"},
    BoundaryCase{"notifier"}, BoundaryCase{"notifier of a thread"},
};

// Guards against an exception that ends the process from a place in which an event loop runs code,
// and against one that is caught without a log line.
void EndsOnlyWhatThrows(const BoundaryCase& row) {
  const QTemporaryDir folder;
  Process program("throwing-program", {std::string(row.name)},
                  folder.filePath("program.log").toStdString());
  program.Start();
  CPPUNIT_ASSERT(program.WaitForExit(kExitTimeout));
  const std::string output = program.Output();
  CPPUNIT_ASSERT_MESSAGE(output, !program.EndedBySignal());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 0, program.ExitStatus());
  CPPUNIT_ASSERT_MESSAGE(output, output.find("event=unexpected_error") != std::string::npos);
  CPPUNIT_ASSERT_MESSAGE(output, output.ends_with("alive\n"));
}

const TableTest<BoundaryCase> registration("ErrorBoundary", kCases, &EndsOnlyWhatThrows);

}  // namespace

}  // namespace damaskhollow::test
