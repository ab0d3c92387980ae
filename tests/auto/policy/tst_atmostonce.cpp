#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <string>
#include <string_view>

#include "atmostonceworld.h"

namespace damaskhollow {

namespace {

using test::AtMostOnceSimulation;
using test::InjectedFault;
using test::Violations;

constexpr std::uint64_t kSeeds = 60;

struct InjectedFaultCase {
  std::string_view name;
  InjectedFault injected_fault;
};

constexpr std::array kInjectedFaultCases{
    InjectedFaultCase{"no expiry check", InjectedFault::kNoExpiryCheck},
    InjectedFaultCase{"no tombstone check", InjectedFault::kNoTombstoneCheck},
    InjectedFaultCase{"no restart check", InjectedFault::kNoRestartCheck},
    InjectedFaultCase{"no inventory check", InjectedFault::kNoInventoryCheck},
};

}  // namespace

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(RunsNoRequestTwice);
  CPPUNIT_TEST(ExplorerSeesMissingChecks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against any sequence of lost, delayed and duplicated messages, pauses, restarts,
  // inventory changes and resends that runs a request twice or runs one reported as not run.
  void RunsNoRequestTwice() {
    Violations sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Violations found = AtMostOnceSimulation(seed, InjectedFault::kNone).Run();
      const std::string message =
          "seed " + std::to_string(seed) + ": ran twice " + std::to_string(found.ran_twice) +
          ", ran although reported as not run " + std::to_string(found.ran_when_not_run);
      CPPUNIT_ASSERT_MESSAGE(message, !found.Any());
      sum.runs += found.runs;
      sum.not_run_reports += found.not_run_reports;
      sum.blocked_resends += found.blocked_resends;
    }
    std::cout << "  seeds 1 to " << kSeeds << ": " << sum.runs << " runs, " << sum.not_run_reports
              << " not-run reports, " << sum.blocked_resends << " resends stopped" << std::endl;
    // A simulation in which no request ran would prove nothing.
    CPPUNIT_ASSERT(sum.runs > kSeeds && sum.not_run_reports > kSeeds &&
                   sum.blocked_resends > kSeeds);
  }

  // Guards against a simulation whose faults are too rare to detect a missing check.
  void ExplorerSeesMissingChecks() {
    for (const InjectedFaultCase& row : kInjectedFaultCases) {
      std::size_t seeds_with_violation = 0;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        if (AtMostOnceSimulation(seed, row.injected_fault).Run().Any()) ++seeds_with_violation;
      }
      std::cout << "  " << row.name << ": violations with " << seeds_with_violation << " of "
                << kSeeds << " seeds" << std::endl;
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name), seeds_with_violation > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace damaskhollow
