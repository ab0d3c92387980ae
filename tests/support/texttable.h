#ifndef DAMASKHOLLOW_TESTS_SUPPORT_TEXTTABLE_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_TEXTTABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace damaskhollow::test {

// Rows of text under headings, for terminals and CSV files.
class TextTable {
 public:
  TextTable(std::string title, std::vector<std::string> headings);

  // A row has one cell for each heading.
  void AddRow(std::vector<std::string> cells);

  const std::string& Title() const { return m_title; }
  const std::vector<std::vector<std::string>>& Rows() const { return m_rows; }

  // Prints title, headings and rows in aligned columns.
  void Print(std::ostream& out) const;

  // Writes headings and rows as comma-separated values; false if the file cannot be written.
  bool WriteCsv(const std::string& path) const;

 private:
  std::string m_title;
  std::vector<std::string> m_headings;
  std::vector<std::vector<std::string>> m_rows;
};

// A number with so many decimals.
std::string FormatNumber(double value, int decimals = 2);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_TEXTTABLE_H_
