#include "damaskhollow/diffcommand.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <iostream>

#include "damaskhollow/declarationfile.h"
#include "declaration/declarationdiff.h"

namespace damaskhollow {

namespace {

constexpr char kUsage[] =
    R"(Shows the differences between two declarations and their effect on a running fleet.

Usage:
  damaskhollow diff [--json] OLD NEW
  damaskhollow diff (-h | --help)

Options:
  --json     Print {"changes": [{"change", "subject", "field", "before", "after", "effect"}]}.
  -h --help  Show this text.

Exit status: 0 both files are valid, whether or not they differ; 1 at least one is invalid;
2 wrong usage or unreadable file.
)";

QJsonObject ToJson(const DeclarationChange& change) {
  const auto to_qstring = [](std::string_view value) {
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
  };
  return QJsonObject{{"change", to_qstring(ChangeKindName(change.kind))},
                     {"subject", to_qstring(change.subject)},
                     {"field", to_qstring(change.field)},
                     {"before", to_qstring(change.before)},
                     {"after", to_qstring(change.after)},
                     {"effect", to_qstring(change.effect)}};
}

void PrintJson(const DeclarationDiff& diff) {
  QJsonArray changes;
  for (const DeclarationChange& change : diff.Changes()) changes.append(ToJson(change));
  std::cout << QJsonDocument(QJsonObject{{"changes", changes}}).toJson().toStdString();
}

void PrintText(const DeclarationDiff& diff) {
  for (const DeclarationChange& change : diff.Changes()) std::cout << Describe(change) << '\n';
  if (diff.Changes().empty()) std::cout << "no change\n";
}

Result<int> Run(const Arguments& arguments) {
  const Result<ParsedDeclaration> before = ReadDeclarationFile(arguments.at("OLD").asString());
  if (!before) return before.error();
  const Result<ParsedDeclaration> after = ReadDeclarationFile(arguments.at("NEW").asString());
  if (!after) return after.error();
  PrintFailures(before.value());
  PrintFailures(after.value());
  if (!before.value().failures.empty() || !after.value().failures.empty()) return kFailureStatus;
  const DeclarationDiff diff(before.value().declaration, after.value().declaration);
  arguments.at("--json").asBool() ? PrintJson(diff) : PrintText(diff);
  return kSuccessStatus;
}

}  // namespace

const Command& DiffCommand() {
  static constexpr Command kCommand{"diff", "Show how two declarations differ", kUsage, Run};
  return kCommand;
}

}  // namespace damaskhollow
