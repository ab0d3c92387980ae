#ifndef DAMASKHOLLOW_DECLARATION_DECLARATIONDIFF_H_
#define DAMASKHOLLOW_DECLARATION_DECLARATIONDIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "declaration/declaration.h"

namespace damaskhollow {

enum class ChangeKind { kAdded, kRemoved, kChanged };

// Returns the machine-readable name of a kind: added, removed or changed.
std::string_view ChangeKindName(ChangeKind kind);

// One difference between two declarations.
struct DeclarationChange {
  ChangeKind kind;
  std::string subject;  // The entry, for instance "backend server portail-1".
  std::string field;    // Name of the field in the file; empty for an added or removed entry.
  std::string before;   // Old value; empty for an added entry.
  std::string after;    // New value; empty for a removed entry.
  std::string effect;   // How the change affects a running fleet.
};

// Formats a change as one human-readable line: "backend server portail-1: slots changes from 9 to
// 12; ...".
std::string Describe(const DeclarationChange& change);

// Computes the differences between two valid declarations. Entries are matched by id and rules by
// methods and path prefix, so that moving an entry within the file is not a change.
class DeclarationDiff {
 public:
  DeclarationDiff(const Declaration& before, const Declaration& after);

  // The differences in the order regions, priorities, services with their rules, backend servers
  // and budgets.
  const std::vector<DeclarationChange>& Changes() const { return m_changes; }

 private:
  void CompareServices(const std::vector<Service>& before, const std::vector<Service>& after);
  void CompareRules(const Service& before, const Service& after);

  std::vector<DeclarationChange> m_changes;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_DECLARATIONDIFF_H_
