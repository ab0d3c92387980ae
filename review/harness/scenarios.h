#ifndef DAMASKHOLLOW_REVIEW_HARNESS_SCENARIOS_H_
#define DAMASKHOLLOW_REVIEW_HARNESS_SCENARIOS_H_

#include <string>

#include "standins.h"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Plays the scenario with this name and returns one of the values above. Nodes keep their files in
// `folder`.
int PlayScenario(const std::string& name, Record& record, const std::string& folder,
                 bool has_trouble);

}  // namespace review

#endif  // DAMASKHOLLOW_REVIEW_HARNESS_SCENARIOS_H_
