#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_TAILMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_TAILMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// Measures latency while one of nine backend servers is slow, cold or failing fast. Returns false
// if a fleet did not start.
bool MeasureTail(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_TAILMEASUREMENT_H_
