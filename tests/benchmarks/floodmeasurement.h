#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_FLOODMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_FLOODMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// Measures the latency and the share of capacity of each priority while the least or the most
// urgent calls arrive at ten times capacity. Returns false if a fleet did not start.
bool MeasureFlood(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_FLOODMEASUREMENT_H_
