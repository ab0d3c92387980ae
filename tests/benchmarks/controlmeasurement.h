#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_CONTROLMEASUREMENT_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_CONTROLMEASUREMENT_H_

#include "benchmarks/scenario.h"

namespace damaskhollow::test {

// Measures control traffic, CPU time and memory of a node, idle and under load. Returns false if a
// fleet did not start.
bool MeasureControl(const MeasurementContext& context);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_CONTROLMEASUREMENT_H_
