#ifndef DAMASKHOLLOW_TOOLS_DECLARATIONFILE_H_
#define DAMASKHOLLOW_TOOLS_DECLARATIONFILE_H_

#include <string>

#include "base/result.h"
#include "declaration/declarationparser.h"

namespace damaskhollow {

// Reads and parses a declaration file. Fails with kFileUnreadable if the file cannot be opened;
// syntax and validation errors are returned in the `failures` of the result.
Result<ParsedDeclaration> ReadDeclarationFile(const std::string& path);

// Prints the failures to standard error, one per line.
void PrintFailures(const ParsedDeclaration& parsed);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_DECLARATIONFILE_H_
