#include "damaskhollow/statuscommand.h"

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace damaskhollow {

namespace {

constexpr char kUsage[] = R"(Queries the status of nodes.

Usage:
  damaskhollow status [--json] [--timeout-ms=N] NODE...
  damaskhollow status (-h | --help)

NODE is the admin address of a node, IP:PORT.

Options:
  --json          Print a list of {"node", "status"} or {"node", "failure"}.
  --timeout-ms=N  Abort a query if no data arrives for N milliseconds [default: 2000].
  -h --help       Show this text.

Exit status: 0 all nodes answered, 1 at least one did not, 2 wrong usage.
)";

constexpr int kMaxTimeoutMs = 600000;
constexpr int kStatusOk = 200;

// The body of a /status response of one node, or the failure if there is no valid response.
struct NodeResponse {
  std::string node;
  QJsonObject status;
  std::optional<Failure> failure;
};

// Converts a finished reply. A network error, another status than 200 and a body that is not a JSON
// object are failures.
NodeResponse ReadResponse(const std::string& node, QNetworkReply& reply) {
  NodeResponse response{node, {}, std::nullopt};
  if (reply.error() != QNetworkReply::NoError) {
    response.failure = Failure{FailureCode::kUnavailable, node, reply.errorString().toStdString()};
    return response;
  }
  const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (status != kStatusOk) {
    response.failure = Failure{FailureCode::kUnavailable, node,
                               "the response has the status " + std::to_string(status)};
    return response;
  }
  const QJsonDocument document = QJsonDocument::fromJson(reply.readAll());
  if (!document.isObject()) {
    response.failure = Failure{FailureCode::kSyntax, node, "the response is not a JSON object"};
    return response;
  }
  response.status = document.object();
  return response;
}

// Requests /status from all nodes in parallel and waits until each has responded or timed out. The
// responses are in the order of `nodes`.
std::vector<NodeResponse> QueryNodes(const std::vector<std::string>& nodes, int timeout_ms) {
  QNetworkAccessManager network;
  // Nodes are reached by IP address inside the fleet's network, never through a proxy.
  network.setProxy(QNetworkProxy::NoProxy);
  std::vector<std::unique_ptr<QNetworkReply>> replies;
  QEventLoop loop;
  std::size_t pending = nodes.size();
  for (const std::string& node : nodes) {
    QNetworkRequest request(QUrl("http://" + QString::fromStdString(node) + "/status"));
    request.setTransferTimeout(timeout_ms);
    replies.emplace_back(network.get(request));
    QObject::connect(replies.back().get(), &QNetworkReply::finished, &loop, [&] {
      if (--pending == 0) loop.quit();
    });
  }
  loop.exec();
  std::vector<NodeResponse> responses;
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    responses.push_back(ReadResponse(nodes[index], *replies[index]));
  }
  return responses;
}

// A table column: its heading and the field of the /status response that it shows.
struct Column {
  std::string_view heading;
  const char* field;
};

constexpr std::array kColumns{
    Column{"server", "server"},           Column{"region", "region"},
    Column{"data centre", "data_centre"}, Column{"version", "configuration_version"},
    Column{"draining", "draining"},       Column{"in flight", "in_flight"},
    Column{"queued", "queued"},           Column{"limit", "limit"},
    Column{"links", "linked_peers"},
};

// The table cell for a value: arrays are shown by their size, missing fields as "-".
std::string CellText(const QJsonValue& value) {
  if (value.isArray()) return std::to_string(value.toArray().size());
  if (value.isBool()) return value.toBool() ? "yes" : "no";
  return value.isUndefined() ? "-" : value.toVariant().toString().toStdString();
}

// Prints one row per node that responded.
void PrintTable(const std::vector<NodeResponse>& responses) {
  std::vector<std::vector<std::string>> rows{{"node"}};
  for (const Column& column : kColumns) rows.front().emplace_back(column.heading);
  for (const NodeResponse& response : responses) {
    if (response.failure) continue;
    rows.push_back({response.node});
    for (const Column& column : kColumns) {
      rows.back().push_back(CellText(response.status.value(column.field)));
    }
  }
  std::vector<std::size_t> widths(rows.front().size());
  for (const std::vector<std::string>& row : rows) {
    for (std::size_t cell = 0; cell < row.size(); ++cell) {
      widths[cell] = std::max(widths[cell], row[cell].size());
    }
  }
  for (const std::vector<std::string>& row : rows) {
    std::string line;
    for (std::size_t cell = 0; cell < row.size(); ++cell) {
      line += row[cell] + std::string(widths[cell] + 2 - row[cell].size(), ' ');
    }
    std::cout << line.substr(0, line.find_last_not_of(' ') + 1) << '\n';
  }
}

void PrintJson(const std::vector<NodeResponse>& responses) {
  QJsonArray list;
  for (const NodeResponse& response : responses) {
    QJsonObject entry{{"node", QString::fromStdString(response.node)}};
    if (response.failure) {
      const std::string_view code = FailureName(response.failure->code);
      entry.insert("failure",
                   QJsonObject{{"code", QString::fromUtf8(code.data(), qsizetype(code.size()))},
                               {"detail", QString::fromStdString(response.failure->detail)}});
    } else {
      entry.insert("status", response.status);
    }
    list.append(entry);
  }
  std::cout << QJsonDocument(list).toJson().toStdString();
}

Result<int> Run(const Arguments& arguments) {
  const std::vector<std::string> nodes = arguments.at("NODE").asStringList();
  for (const std::string& node : nodes) {
    const Result<Endpoint> endpoint = ParseEndpoint(node);
    if (!endpoint) return endpoint.error();
  }
  bool is_number = false;
  const int timeout_ms =
      QString::fromStdString(arguments.at("--timeout-ms").asString()).toInt(&is_number);
  if (!is_number || timeout_ms < 1 || timeout_ms > kMaxTimeoutMs) {
    return Failure{FailureCode::kInvalidSetting, "--timeout-ms",
                   "must be a whole number from 1 to " + std::to_string(kMaxTimeoutMs)};
  }
  const std::vector<NodeResponse> responses = QueryNodes(nodes, timeout_ms);
  arguments.at("--json").asBool() ? PrintJson(responses) : PrintTable(responses);
  int status = kSuccessStatus;
  for (const NodeResponse& response : responses) {
    if (!response.failure) continue;
    std::cerr << Describe(*response.failure) << '\n';
    status = kFailureStatus;
  }
  return status;
}

}  // namespace

const Command& StatusCommand() {
  static constexpr Command kCommand{"status", "Query the status of nodes", kUsage, Run};
  return kCommand;
}

}  // namespace damaskhollow
