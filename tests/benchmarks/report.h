#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_REPORT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "support/texttable.h"

namespace damaskhollow::test {

// One line of a plot.
struct PlotSeries {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

// A plot with numbers on both axes.
struct Plot {
  std::string title;
  std::string x_label;
  std::string y_label;
  std::vector<PlotSeries> series;
};

// Prints the tables of the measurements and writes tables and plots as files into a folder.
class Report {
 public:
  // Creates the folder if it does not exist.
  explicit Report(std::string folder);

  // Prints the table and writes it as NAME.csv.
  void Add(std::string_view name, const TextTable& table);

  // Writes the plot as NAME.svg.
  void Add(std::string_view name, const Plot& plot);

  // False if the folder could not be created or a file could not be written.
  bool AllFilesWritten() const { return m_all_files_written; }

 private:
  std::string m_folder;
  bool m_all_files_written = true;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_REPORT_H_
