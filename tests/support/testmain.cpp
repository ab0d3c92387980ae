#include "support/testmain.h"

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

namespace damaskhollow::test {

namespace {

void CollectTestCases(CppUnit::Test& test, std::vector<CppUnit::Test*>& test_cases) {
  if (test.getChildTestCount() == 0) {
    if (test.countTestCases() > 0) test_cases.push_back(&test);
    return;
  }
  for (int index = 0; index < test.getChildTestCount(); ++index) {
    CollectTestCases(*test.getChildTestAt(index), test_cases);
  }
}

// Reads the names of known failing tests; each entry of the file begins with "test: NAME".
std::set<std::string> KnownRedTests() {
  constexpr std::string_view kKey = "test: ";
  std::set<std::string> names;
  const char* path = std::getenv("DAMASKHOLLOW_KNOWN_RED");
  if (path == nullptr) return names;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kKey)) names.insert(line.substr(kKey.size()));
  }
  return names;
}

void PrintFailures(const CppUnit::TestResultCollector& collector) {
  for (const CppUnit::TestFailure* failure : collector.failures()) {
    std::cout << "FAILED " << failure->failedTestName() << '\n'
              << "  " << failure->sourceLine().fileName() << ':'
              << failure->sourceLine().lineNumber() << '\n'
              << "  " << failure->thrownException()->what() << '\n';
  }
}

}  // namespace

int RunTests(int argc, char** argv) {
  const std::string filter = argc > 1 ? argv[1] : "";
  const std::set<std::string> known_red = KnownRedTests();
  CppUnit::Test* suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  std::vector<CppUnit::Test*> tests;
  CollectTestCases(*suite, tests);

  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  result.addListener(&collector);
  int skipped = 0;
  for (CppUnit::Test* test : tests) {
    if (test->getName().find(filter) == std::string::npos) continue;
    if (known_red.contains(test->getName())) {
      std::cout << "KNOWN RED, passed over: " << test->getName() << '\n';
      ++skipped;
      continue;
    }
    std::cout << "run " << test->getName() << std::endl;
    test->run(&result);
  }
  PrintFailures(collector);
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed << " failed, " << skipped
            << " skipped" << std::endl;
  delete suite;
  return failed == 0 ? 0 : 1;
}

}  // namespace damaskhollow::test
