#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_FLOODMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_FLOODMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// Service by priority while the least or the most urgent work arrives at ten times capacity. False
// if a fleet did not start.
bool MeasureFlood(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_FLOODMEASUREMENT_H_
