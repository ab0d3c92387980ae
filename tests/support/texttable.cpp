#include "support/texttable.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <utility>

namespace damaskhollow::test {

namespace {

void PrintRow(std::ostream& out, const std::vector<std::string>& row,
              const std::vector<std::size_t>& widths) {
  for (std::size_t cell = 0; cell < row.size(); ++cell) {
    out << (cell == 0 ? "" : "  ") << row[cell];
    if (cell + 1 < row.size()) out << std::string(widths[cell] - row[cell].size(), ' ');
  }
  out << '\n';
}

void WriteCsvRow(std::ostream& out, const std::vector<std::string>& row) {
  for (std::size_t cell = 0; cell < row.size(); ++cell) {
    out << (cell == 0 ? "" : ",") << '"' << row[cell] << '"';
  }
  out << '\n';
}

}  // namespace

TextTable::TextTable(std::string title, std::vector<std::string> headings)
    : m_title(std::move(title)), m_headings(std::move(headings)) {}

void TextTable::AddRow(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }

void TextTable::Print(std::ostream& out) const {
  std::vector<std::size_t> widths;
  for (const std::string& heading : m_headings) widths.push_back(heading.size());
  for (const std::vector<std::string>& row : m_rows) {
    for (std::size_t cell = 0; cell < row.size(); ++cell) {
      widths[cell] = std::max(widths[cell], row[cell].size());
    }
  }
  out << "\n== " << m_title << '\n';
  PrintRow(out, m_headings, widths);
  for (const std::vector<std::string>& row : m_rows) PrintRow(out, row, widths);
  out.flush();
}

bool TextTable::WriteCsv(const std::string& path) const {
  std::ofstream out(path);
  WriteCsvRow(out, m_headings);
  for (const std::vector<std::string>& row : m_rows) WriteCsvRow(out, row);
  return out.good();
}

std::string FormatNumber(double value, int decimals) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(decimals) << value;
  return out.str();
}

}  // namespace damaskhollow::test
