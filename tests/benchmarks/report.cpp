#include "benchmarks/report.h"

#include <QDir>
#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <utility>

namespace damaskhollow::test {

namespace {

constexpr double kWidth = 720.0;
constexpr double kHeight = 400.0;
constexpr double kMargin = 60.0;
constexpr int kTickCount = 5;
constexpr std::array<const char*, 6> kColours{"#0b6", "#06c", "#c30", "#a0a", "#960", "#333"};

// The largest x and the largest y of a plot, each at least 1 so that an empty plot can be drawn.
std::pair<double, double> MaxCoordinates(const Plot& plot) {
  std::pair<double, double> extent{1.0, 1.0};
  for (const PlotSeries& series : plot.series) {
    for (const auto& [x, y] : series.points) {
      extent.first = std::max(extent.first, x);
      extent.second = std::max(extent.second, y);
    }
  }
  return extent;
}

void WriteText(std::ostream& out, double x, double y, std::string_view anchor,
               std::string_view text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text
      << "</text>\n";
}

void WriteAxes(std::ostream& out, const Plot& plot, double x_max, double y_max) {
  const double bottom = kHeight - kMargin;
  out << "<path d=\"M" << kMargin << ' ' << kMargin << " V" << bottom << " H" << kWidth - kMargin
      << "\" fill=\"none\" stroke=\"#000\"/>\n";
  for (int tick = 0; tick <= kTickCount; ++tick) {
    const double fraction = static_cast<double>(tick) / kTickCount;
    WriteText(out, kMargin + fraction * (kWidth - 2 * kMargin), bottom + 16, "middle",
              FormatNumber(fraction * x_max, 1));
    WriteText(out, kMargin - 6, bottom - fraction * (kHeight - 2 * kMargin) + 4, "end",
              FormatNumber(fraction * y_max, 1));
  }
  WriteText(out, kWidth / 2, 24, "middle", plot.title);
  WriteText(out, kWidth / 2, kHeight - 12, "middle", plot.x_label);
  WriteText(out, kMargin, kMargin - 12, "middle", plot.y_label);
}

void WriteSeries(std::ostream& out, const PlotSeries& series, std::size_t index, double x_max,
                 double y_max) {
  const char* colour = kColours[index % kColours.size()];
  out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"2\" points=\"";
  for (const auto& [x, y] : series.points) {
    out << kMargin + x / x_max * (kWidth - 2 * kMargin) << ','
        << kHeight - kMargin - y / y_max * (kHeight - 2 * kMargin) << ' ';
  }
  out << "\"/>\n<g fill=\"" << colour << "\">";
  WriteText(out, kWidth - kMargin, kMargin + 16 * static_cast<double>(index), "end", series.name);
  out << "</g>\n";
}

}  // namespace

Report::Report(std::string folder) : m_folder(std::move(folder)) {
  m_all_files_written = QDir().mkpath(QString::fromStdString(m_folder));
}

void Report::Add(std::string_view name, const TextTable& table) {
  table.Print(std::cout);
  const bool is_written = table.WriteCsv(m_folder + "/" + std::string(name) + ".csv");
  m_all_files_written = m_all_files_written && is_written;
}

void Report::Add(std::string_view name, const Plot& plot) {
  const auto [x_max, y_max] = MaxCoordinates(plot);
  std::ofstream out(m_folder + "/" + std::string(name) + ".svg");
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << kWidth << ' ' << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
  WriteAxes(out, plot, x_max, y_max);
  for (std::size_t index = 0; index < plot.series.size(); ++index) {
    WriteSeries(out, plot.series[index], index, x_max, y_max);
  }
  out << "</svg>\n";
  m_all_files_written = m_all_files_written && out.good();
}

}  // namespace damaskhollow::test
