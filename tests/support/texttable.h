#ifndef DAMASKHOLLOW_TESTS_SUPPORT_TEXTTABLE_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_TEXTTABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace damaskhollow::test {

// A table of text cells that can be printed to a terminal or written as CSV.
class TextTable {
 public:
  TextTable(std::string title, std::vector<std::string> headings);

  // Adds a row, which must have one cell for each heading.
  void AddRow(std::vector<std::string> cells);

  const std::string& Title() const { return m_title; }
  const std::vector<std::vector<std::string>>& Rows() const { return m_rows; }

  // Prints the title, the headings and the rows in aligned columns.
  void Print(std::ostream& out) const;

  // Writes the headings and rows as comma-separated values. Returns false if the file cannot be
  // written. Quotation marks within cells are not escaped.
  bool WriteCsv(const std::string& path) const;

 private:
  std::string m_title;
  std::vector<std::string> m_headings;
  std::vector<std::vector<std::string>> m_rows;
};

// Formats a number with a fixed number of decimals.
std::string FormatNumber(double value, int decimals = 2);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_TEXTTABLE_H_
