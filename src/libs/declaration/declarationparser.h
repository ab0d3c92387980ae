#ifndef DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_
#define DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// The result of parsing a declaration. `declaration` is valid only if `failures` is empty. The
// subject of each failure is "FILE: field path".
struct ParsedDeclaration {
  Declaration declaration;
  std::vector<Failure> failures;
  std::size_t read_routes = 0;  // Routes that were read, and not taken from an earlier declaration.
};

// A valid declaration and the text that it was parsed from.
struct KnownDeclaration {
  std::string_view text;
  const Declaration& declaration;
};

// Parses and validates the JSON text of a declaration. `file` is used in failures only. Reports all
// failures, not only the first one; only a failure with kSyntax ends parsing early.
ParsedDeclaration ParseDeclaration(std::string_view file, std::string_view text);

// As above with the same result, but takes over the routes whose text is unchanged from an earlier
// declaration. Mostly few of many routes change, and a node may have little processor time.
ParsedDeclaration ParseDeclaration(std::string_view file, std::string_view text,
                                   const KnownDeclaration& known);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_
