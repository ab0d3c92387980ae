#include <QCommandLineParser>
#include <QCoreApplication>
#include <array>
#include <chrono>
#include <csignal>
#include <iostream>

#include "benchmarks/controlmeasurement.h"
#include "benchmarks/floodmeasurement.h"
#include "benchmarks/latencymeasurement.h"
#include "benchmarks/report.h"
#include "benchmarks/slopemeasurement.h"
#include "benchmarks/tailmeasurement.h"

namespace {

using damaskhollow::test::MeasurementContext;
using damaskhollow::test::Report;

// A measurement that can be selected with --only. `run` returns false if it is incomplete.
struct Measurement {
  const char* name;
  bool (*run)(const MeasurementContext&);
};

constexpr std::array kMeasurements{
    Measurement{"latency", damaskhollow::test::MeasureLatency},
    Measurement{"tail", damaskhollow::test::MeasureTail},
    Measurement{"flood", damaskhollow::test::MeasureFlood},
    Measurement{"control", damaskhollow::test::MeasureControl},
    Measurement{"slopes", damaskhollow::test::MeasureSlope},
};

// Runs the selected measurement, or all if `selected` is empty. Returns the exit status: 0 if all
// measurements are complete and all files were written, 1 otherwise.
int RunMeasurements(const QString& selected, const MeasurementContext& context) {
  std::cout << "seed " << context.seed << (context.is_quick ? ", quick" : ", complete")
            << std::endl;
  bool is_complete = true;
  for (const Measurement& measurement : kMeasurements) {
    if (!selected.isEmpty() && selected != measurement.name) continue;
    const auto start = std::chrono::steady_clock::now();
    const bool is_measured = measurement.run(context);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    std::cout << measurement.name << " took "
              << damaskhollow::test::FormatNumber(elapsed.count(), 0) << " s" << std::endl;
    if (is_measured) continue;
    std::cerr << "measurement " << measurement.name
              << " incomplete: a fleet could not be started or configured\n";
    is_complete = false;
  }
  return is_complete && context.report.AllFilesWritten() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const QCoreApplication application(argc, argv);
  QCommandLineParser parser;
  parser.setApplicationDescription(
      "Measures the performance of fleets of nodes with stand-in backend servers.");
  parser.addHelpOption();
  parser.addOptions({{"output", "Output folder for CSV and SVG files.", "FOLDER", "results"},
                     {"seed", "Seed of the load generators.", "N", "1"},
                     {"only", "Run only latency, tail, flood, control or slopes.", "NAME"},
                     {"quick", "Use short phases and fewer scenarios; results are approximate."}});
  parser.process(application);
  Report report(parser.value("output").toStdString());
  const MeasurementContext context{report, parser.isSet("quick"),
                                   parser.value("seed").toULongLong()};
  return RunMeasurements(parser.value("only"), context);
}
