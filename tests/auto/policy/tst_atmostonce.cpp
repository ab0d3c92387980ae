#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <string>
#include <string_view>

#include "atmostonceworld.h"

namespace damaskhollow {

namespace {

using test::AtMostOnceWorld;
using test::Sabotage;
using test::Violations;

constexpr std::uint64_t kSeeds = 60;

struct SabotageCase {
  std::string_view name;
  Sabotage sabotage;
};

constexpr std::array kSabotages{
    SabotageCase{"no expiry check", Sabotage::kNoExpiryCheck},
    SabotageCase{"no tombstone check", Sabotage::kNoTombstoneCheck},
    SabotageCase{"no restart check", Sabotage::kNoRestartCheck},
    SabotageCase{"no inventory check", Sabotage::kNoInventoryCheck},
};

}  // namespace

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(RunsNoRequestTwice);
  CPPUNIT_TEST(ExplorerSeesMissingChecks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against any order of losses, delays, second deliveries, pauses, restarts, inventory
  // changes and resends that runs a request twice or runs what was reported as not run.
  void RunsNoRequestTwice() {
    Violations sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Violations found = AtMostOnceWorld(seed, Sabotage::kNone).Run();
      const std::string seen = "seed " + std::to_string(seed) + ": ran twice " +
                               std::to_string(found.ran_twice) + ", ran though not run " +
                               std::to_string(found.ran_when_not_run);
      CPPUNIT_ASSERT_MESSAGE(seen, !found.Any());
      sum.runs += found.runs;
      sum.not_run_answers += found.not_run_answers;
      sum.duplicate_ids_stopped += found.duplicate_ids_stopped;
    }
    std::cout << "  seeds 1 to " << kSeeds << ": " << sum.runs << " runs, " << sum.not_run_answers
              << " not-run answers, " << sum.duplicate_ids_stopped << " resends stopped"
              << std::endl;
    // A world in which nothing runs would prove nothing.
    CPPUNIT_ASSERT(sum.runs > kSeeds && sum.not_run_answers > kSeeds &&
                   sum.duplicate_ids_stopped > kSeeds);
  }

  // Guards against an explorer that is too tame to find a fault.
  void ExplorerSeesMissingChecks() {
    for (const SabotageCase& row : kSabotages) {
      std::size_t seeds_with_violation = 0;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        if (AtMostOnceWorld(seed, row.sabotage).Run().Any()) ++seeds_with_violation;
      }
      std::cout << "  " << row.name << ": violations with " << seeds_with_violation << " of "
                << kSeeds << " seeds" << std::endl;
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name), seeds_with_violation > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace damaskhollow
