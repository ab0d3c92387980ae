#include "support/standin-backend/backendmodel.h"

#include <QJsonDocument>
#include <QTimer>
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "support/patternbody.h"

namespace damaskhollow::test {

namespace {

constexpr std::string_view kControlPrefix = "/control/";
constexpr std::string_view kHealthPath = "/health";
constexpr int kCrashExitStatus = 134;
constexpr std::size_t kChunkBytes = 10000;

std::string Compact(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace

QJsonObject BackendModel::Counts::ToJson() const {
  QJsonObject json;
  json.insert("ran", ran);
  json.insert("completed", completed);
  json.insert("cut", cut);
  json.insert("busy_ms", busy_ms);
  return json;
}

BackendModel::BackendModel(const BackendSettings& settings)
    : m_settings(settings),
      m_server([this](ConnectionId connection,
                      HttpRequest request) { HandleRequest(connection, std::move(request)); },
               [this](ConnectionId connection) { HandleConnectionClosed(connection); }),
      m_random(settings.seed) {
  m_since_start.start();
  if (!m_settings.run_log.empty()) ReadRunLog();
}

void BackendModel::ReadRunLog() {
  std::ifstream file(m_settings.run_log);
  char event = '\0';
  for (std::string test_id; file >> event >> test_id;) {
    Counts& counts = m_by_id[test_id];
    ++(event == 'r' ? counts.ran : event == 'c' ? counts.completed : counts.cut);
  }
  m_run_log.open(m_settings.run_log, std::ios::app);
}

void BackendModel::LogRun(char event, const std::string& test_id) {
  if (!m_run_log.is_open() || test_id.empty()) return;
  m_run_log << event << ' ' << test_id << std::endl;  // Flushed, as a crash may follow.
}

void BackendModel::HandleRequest(ConnectionId connection, HttpRequest request) {
  const std::string_view path = PathOf(request.target);
  if (path.starts_with(kControlPrefix)) return HandleControl(connection, request);
  if (path == kHealthPath) return HandleHealth(connection);
  if (m_fail_status != 0) {
    ++m_failed;
    return m_server.SendResponse(connection, m_fail_status, "failing fast");
  }
  if (m_running.size() >= m_settings.slots && m_queue.size() >= m_settings.queue_limit) {
    ++m_shed;
    return m_server.SendResponse(connection, m_settings.shed_status, "shed");
  }
  Work work;
  work.connection = connection;
  work.test_id = FindHeader(request.headers, "X-Test-Id");
  work.test_class = FindHeader(request.headers, "X-Test-Class");
  work.options = QueryOptions::FromTarget(request.target);
  work.options.AddMissing(
      QueryOptions::FromQueryString(FindHeader(request.headers, "X-Test-Options")));
  m_queue.push_back(std::move(work));
  StartNext();
}

void BackendModel::HandleHealth(ConnectionId connection) {
  const int status = m_drain_status_on ? m_settings.drain_status : 200;
  m_server.SendResponse(connection, status, m_drain_status_on ? "draining" : "ok");
}

void BackendModel::HandleControl(ConnectionId connection, const HttpRequest& request) {
  const std::string_view path = PathOf(request.target);
  if (path == "/control/set") ApplyOptions(QueryOptions::FromTarget(request.target));
  const bool is_known = path == "/control/set" || path == "/control/runs";
  m_server.SendResponse(connection, is_known ? 200 : 404, is_known ? Compact(RunsJson()) : "",
                        {{"Content-Type", "application/json"}});
}

void BackendModel::ApplyOptions(const QueryOptions& options) {
  m_slowdown = options.Number("slow", m_slowdown);
  m_settings.service_ms = options.Number("service_ms", m_settings.service_ms);
  m_settings.slots =
      static_cast<std::size_t>(options.Number("slots", static_cast<double>(m_settings.slots)));
  m_settings.queue_limit = static_cast<std::size_t>(
      options.Number("queue_limit", static_cast<double>(m_settings.queue_limit)));
  if (options.Has("fail")) {
    const int value = static_cast<int>(options.Number("fail", 0));
    m_fail_status = value == 1 ? 500 : value;
  }
  if (options.Has("drain")) m_drain_status_on = options.IsOn("drain");
  if (options.Has("drain_header")) m_drain_header_on = options.IsOn("drain_header");
  if (options.Has("hold")) m_hold = options.IsOn("hold");
  if (options.IsOn("cold")) m_since_start.restart();
  if (options.IsOn("crash")) std::_Exit(kCrashExitStatus);
  while (!m_hold && !m_held.empty()) {
    const ConnectionId connection = m_held.front();
    m_held.pop_front();
    Complete(connection);
  }
  StartNext();
}

double BackendModel::PlannedMs(const QueryOptions& options) {
  double planned_ms = m_settings.service_ms;
  if (m_settings.distribution == "exponential" && planned_ms > 0.0) {
    planned_ms = std::exponential_distribution<double>(1.0 / planned_ms)(m_random);
  }
  planned_ms = options.Number("ms", planned_ms) * m_slowdown;
  const double age_ms = static_cast<double>(m_since_start.elapsed());
  if (age_ms >= m_settings.cold_ms) return planned_ms;
  const double remaining_share = 1.0 - age_ms / m_settings.cold_ms;
  return planned_ms * (1.0 + (m_settings.cold_factor - 1.0) * remaining_share);
}

void BackendModel::StartNext() {
  while (!m_queue.empty() && m_running.size() < m_settings.slots) {
    Work work = std::move(m_queue.front());
    m_queue.pop_front();
    Run(std::move(work));
  }
}

void BackendModel::Run(Work work) {
  const ConnectionId connection = work.connection;
  work.planned_ms = PlannedMs(work.options);
  if (!work.test_id.empty()) ++m_by_id[work.test_id].ran;
  if (!work.test_class.empty()) ++m_by_class[work.test_class].ran;
  ++m_total.ran;
  LogRun('r', work.test_id);
  if (work.options.IsOn("crash")) std::_Exit(kCrashExitStatus);
  if (work.options.IsOn("abort")) return m_server.Abort(connection);
  const auto planned = std::chrono::milliseconds(std::lround(work.planned_ms));
  m_running.emplace(connection, std::move(work));
  m_peak_in_flight = std::max(m_peak_in_flight, m_running.size());
  QTimer::singleShot(planned, Qt::PreciseTimer, this, [this, connection] { Complete(connection); });
}

void BackendModel::Complete(ConnectionId connection) {
  const auto found = m_running.find(connection);
  if (found == m_running.end()) return;  // The connection was closed; its id is never reused.
  if (m_hold) return m_held.push_back(connection);
  const Work work = std::move(found->second);
  m_running.erase(found);
  const auto record_completion = [&work](Counts& counts) {
    ++counts.completed;
    counts.busy_ms += work.planned_ms;
  };
  if (!work.test_id.empty()) record_completion(m_by_id[work.test_id]);
  if (!work.test_class.empty()) record_completion(m_by_class[work.test_class]);
  record_completion(m_total);
  LogRun('c', work.test_id);
  RespondTo(work);
  StartNext();
}

void BackendModel::RespondTo(const Work& work) {
  const auto bytes = static_cast<std::size_t>(work.options.Number("bytes", 0.0));
  const std::string body = PatternBody(work.test_id, bytes);
  const int status = static_cast<int>(work.options.Number("status", 200.0));
  std::vector<HttpHeader> headers{{"X-Test-Id", work.test_id}};
  if (m_drain_header_on) headers.push_back({"Damaskhollow-Drain", "1"});
  if (work.options.IsOn("chunked")) {
    return m_server.SendChunkedResponse(work.connection, status, body, kChunkBytes,
                                        std::move(headers));
  }
  m_server.SendResponse(work.connection, status, body, std::move(headers));
}

void BackendModel::HandleConnectionClosed(ConnectionId connection) {
  std::erase_if(m_queue, [&](const Work& work) { return work.connection == connection; });
  std::erase(m_held, connection);
  const auto found = m_running.find(connection);
  if (found == m_running.end()) return;
  const Work work = std::move(found->second);
  m_running.erase(found);
  if (!work.test_id.empty()) ++m_by_id[work.test_id].cut;
  if (!work.test_class.empty()) ++m_by_class[work.test_class].cut;
  ++m_total.cut;
  LogRun('x', work.test_id);
  StartNext();
}

QJsonObject BackendModel::RunsJson() const {
  QJsonObject ids;
  for (const auto& [id, counts] : m_by_id) ids.insert(QString::fromStdString(id), counts.ToJson());
  QJsonObject classes;
  for (const auto& [id, counts] : m_by_class) {
    classes.insert(QString::fromStdString(id), counts.ToJson());
  }
  QJsonObject json;
  json.insert("ids", ids);
  json.insert("classes", classes);
  json.insert("total", m_total.ToJson());
  json.insert("in_flight", static_cast<int>(m_running.size()));
  json.insert("queued", static_cast<int>(m_queue.size()));
  json.insert("peak_in_flight", static_cast<int>(m_peak_in_flight));
  json.insert("shed", m_shed);
  json.insert("failed", m_failed);
  return json;
}

}  // namespace damaskhollow::test
