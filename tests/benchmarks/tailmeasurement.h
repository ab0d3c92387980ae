#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_TAILMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_TAILMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// Latency with one of nine backend servers slow, cold or failing fast. False if a fleet did not
// start.
bool MeasureTail(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_TAILMEASUREMENT_H_
