#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_SLOPEMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_SLOPEMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// How memory and processor time of a node grow with links, calls and peers. False if a fleet did
// not start.
bool MeasureSlope(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_SLOPEMEASUREMENT_H_
