#include "damaskhollow/tracecommand.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace damaskhollow {

namespace {

constexpr char kUsage[] =
    R"(Prints the log lines of one request from the logs of several nodes, sorted by time.

Usage:
  damaskhollow trace ID FILE...
  damaskhollow trace (-h | --help)

Each line is prefixed with the name of its file.

Exit status: 0 found, 1 no line has this request ID, 2 wrong usage or unreadable file.

Options:
  -h --help  Show this text.
)";

// A log line with the value of its `time` field, by which lines are sorted as text, and the name of
// its file.
struct LogLine {
  std::string time;
  std::string file;
  std::string text;
};

// The value of the field `name` in a log line, up to the next space; empty if there is none.
std::string FieldOf(const std::string& line, const std::string& name) {
  const std::string key = name + "=";
  std::size_t start = line.starts_with(key) ? 0 : line.find(" " + key);
  if (start == std::string::npos) return {};
  start = line.find('=', start) + 1;
  return line.substr(start, line.find(' ', start) - start);
}

Result<int> Run(const Arguments& arguments) {
  const std::string id = arguments.at("ID").asString();
  std::vector<LogLine> lines;
  for (const std::string& name : arguments.at("FILE").asStringList()) {
    std::ifstream file(name);
    if (!file) {
      return Failure{FailureCode::kFileUnreadable, name, "cannot open the file for reading"};
    }
    for (std::string text; std::getline(file, text);) {
      if (FieldOf(text, "request") == id) lines.push_back({FieldOf(text, "time"), name, text});
    }
  }
  std::stable_sort(lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) {
    return left.time < right.time;
  });
  for (const LogLine& line : lines) std::cout << line.file << ": " << line.text << '\n';
  return lines.empty() ? kFailureStatus : kSuccessStatus;
}

}  // namespace

const Command& TraceCommand() {
  static constexpr Command kCommand{"trace", "Print the log lines of a request by time", kUsage,
                                    Run};
  return kCommand;
}

}  // namespace damaskhollow
