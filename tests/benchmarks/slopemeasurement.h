#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_SLOPEMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_SLOPEMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// Measures how memory and CPU time of a node grow with peers and calls, store reads with nodes, and
// the declaration with its entries. Returns false if a fleet did not start or did not apply a
// configuration.
bool MeasureSlope(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_SLOPEMEASUREMENT_H_
