#ifndef DAMASKHOLLOW_TOOLS_DECLARATIONFILE_H_
#define DAMASKHOLLOW_TOOLS_DECLARATIONFILE_H_

#include <string>

#include "base/result.h"
#include "declaration/declarationparser.h"

namespace damaskhollow {

// Reads and parses a declaration. Fails with kFileUnreadable; failures of its content are in the
// result.
Result<ParsedDeclaration> ReadDeclarationFile(const std::string& path);

// Prints the failures to standard error, one a line.
void PrintFailures(const ParsedDeclaration& parsed);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_DECLARATIONFILE_H_
