#include "damaskhollow/declarationfile.h"

#include <QFile>
#include <iostream>

namespace damaskhollow {

Result<ParsedDeclaration> ReadDeclarationFile(const std::string& path) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) {
    return Failure{FailureCode::kFileUnreadable, path, file.errorString().toStdString()};
  }
  return ParseDeclaration(path, file.readAll().toStdString());
}

void PrintFailures(const ParsedDeclaration& parsed) {
  for (const Failure& failure : parsed.failures) std::cerr << Describe(failure) << '\n';
}

}  // namespace damaskhollow
