#include <cppunit/TestAssert.h>

#include <array>
#include <string_view>

#include "policy/descriptorbudget.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

struct BudgetRow {
  std::string_view name;
  std::size_t configured;
  std::size_t descriptors;
  DescriptorNeeds needs;
  std::size_t limit;
};

constexpr std::array kRows{
    BudgetRow{"many descriptors", 1024, 1048576, {8, 9}, 1024},
    BudgetRow{"a machine of the portal", 1024, 3900, {8, 9}, 1024},
    BudgetRow{"usual limit of a shell", 1024, 1024, {8, 9}, 746},
    BudgetRow{"the most links", 1024, 1024, {128, 8}, 460},
    BudgetRow{"fewer than reserved", 1024, 45, {2, 9}, 1},
    BudgetRow{"none", 1024, 0, {}, 1},
};

// Guards against callers that take the descriptors of links and of connections to the backend
// server.
void LeavesReservedDescriptors(const BudgetRow& row) {
  const std::size_t limit = CallerConnectionLimit(row.configured, row.descriptors, row.needs);
  CPPUNIT_ASSERT_EQUAL(row.limit, limit);
  const std::size_t needed = UrgentConnectionLimit(limit) + ReservedDescriptors(row.needs);
  CPPUNIT_ASSERT(needed <= row.descriptors || limit == 1);
  const std::size_t refused = RefusedConnectionLimit(limit, row.descriptors, row.needs);
  CPPUNIT_ASSERT(refused == 0 || needed + refused <= row.descriptors);
}

const test::TableTest<BudgetRow> registration("DescriptorBudget", kRows,
                                              &LeavesReservedDescriptors);

}  // namespace

}  // namespace damaskhollow
