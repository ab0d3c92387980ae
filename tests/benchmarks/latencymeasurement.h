#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_LATENCYMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_LATENCYMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// Measures the latency that two nodes add to a direct call, at increasing rates. Returns false if a
// fleet did not start.
bool MeasureLatency(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_LATENCYMEASUREMENT_H_
