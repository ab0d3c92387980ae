#ifndef DAMASKHOLLOW_TESTS_SUPPORT_TABLETEST_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_TABLETEST_H_

#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace damaskhollow::test {

// A test case for one row of a table, named "Suite::row name".
template <class Row>
class RowTest : public CppUnit::TestCase {
 public:
  RowTest(const std::string& name, const Row& row, void (*test)(const Row&))
      : CppUnit::TestCase(name), m_row(row), m_test(test) {}

  void runTest() override { m_test(m_row); }  // NOLINT(readability-identifier-naming): CppUnit.

 private:
  const Row& m_row;
  void (*m_test)(const Row&);
};

// Registers one test for each row of a table with CppUnit. Rows need a member `name`; `test` checks
// one row. The table must have static storage duration.
template <class Row>
class TableTest : public CppUnit::TestFactory {
 public:
  TableTest(std::string suite, std::span<const Row> rows, void (*test)(const Row&))
      : m_suite(std::move(suite)), m_rows(rows), m_test(test) {
    CppUnit::TestFactoryRegistry::getRegistry().registerFactory(this);
  }
  ~TableTest() override {
    if (CppUnit::TestFactoryRegistry::isValid()) {
      CppUnit::TestFactoryRegistry::getRegistry().unregisterFactory(this);
    }
  }

  CppUnit::Test* makeTest() override {  // NOLINT(readability-identifier-naming): CppUnit.
    auto* suite = new CppUnit::TestSuite(m_suite);
    for (const Row& row : m_rows) {
      suite->addTest(new RowTest<Row>(m_suite + "::" + std::string(row.name), row, m_test));
    }
    return suite;
  }

 private:
  std::string m_suite;
  std::span<const Row> m_rows;
  void (*m_test)(const Row&);
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_TABLETEST_H_
