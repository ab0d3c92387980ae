#include "damaskhollow/explaincommand.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <iostream>
#include <span>

#include "base/reason.h"

namespace damaskhollow {

namespace {

constexpr char kUsage[] = R"(Explains the reasons in Damaskhollow-Reason headers, metrics and logs.

Usage:
  damaskhollow explain [--json] [REASON]
  damaskhollow explain (-h | --help)

Without REASON, all reasons are listed.

Options:
  --json     Print a list of {"reason", "outcome", "http_status", "try_another_server", "explanation", "action"}.
  -h --help  Show this text.
)";

QString ToQString(std::string_view value) {
  return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

void PrintJson(std::span<const ReasonInfo> reasons) {
  QJsonArray list;
  for (const ReasonInfo& info : reasons) {
    list.append(QJsonObject{{"reason", ToQString(info.name)},
                            {"outcome", ToQString(OutcomeName(info.outcome))},
                            {"http_status", info.http_status},
                            {"try_another_server", info.try_another_server},
                            {"explanation", ToQString(info.explanation)},
                            {"action", ToQString(info.action)}});
  }
  std::cout << QJsonDocument(list).toJson().toStdString();
}

void PrintText(std::span<const ReasonInfo> reasons) {
  for (const ReasonInfo& info : reasons) {
    std::cout << info.name << " (" << OutcomeName(info.outcome) << ", HTTP " << info.http_status
              << (info.try_another_server ? ", another server may be tried" : "")
              << ")\n  What it means: " << info.explanation << "\n  What to do: " << info.action
              << '\n';
  }
}

Result<int> Run(const Arguments& arguments) {
  std::span<const ReasonInfo> reasons = ReasonTable();
  const docopt::value& name = arguments.at("REASON");
  if (name.isString()) {
    const std::optional<Reason> reason = ReasonFromName(name.asString());
    if (!reason) {
      return Failure{FailureCode::kUnknownReference, name.asString(),
                     "unknown reason; `damaskhollow explain` lists all reasons"};
    }
    reasons = reasons.subspan(static_cast<std::size_t>(*reason), 1);
  }
  arguments.at("--json").asBool() ? PrintJson(reasons) : PrintText(reasons);
  return kSuccessStatus;
}

}  // namespace

const Command& ExplainCommand() {
  static constexpr Command kCommand{"explain", "Explain why a call was refused, failed or retried",
                                    kUsage, Run};
  return kCommand;
}

}  // namespace damaskhollow
