#include "configuration/platformreader.h"

#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QUrlQuery>
#include <algorithm>
#include <utility>

#include "configuration/versionguard.h"

namespace damaskhollow {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;
// The longest time that the service may hold one request.
constexpr std::chrono::milliseconds kMaxRequestWait{1500};
// Time allowed for the head of a response after the wait of its request.
constexpr std::chrono::milliseconds kHeadTimeout{1500};
// Time allowed for a response without a wait, and for the rest of one whose head has arrived.
// Covers the transfer of 1 MB over a paid link under load.
constexpr std::chrono::milliseconds kResponseTimeout{3000};
constexpr char kVersionHeader[] = "Damaskhollow-Version";

}  // namespace

PlatformReader::PlatformReader(const std::string& url, const std::string& default_path,
                               PlatformEvents& events)
    : m_url(QString::fromStdString(url)), m_events(events) {
  if (m_url.path().size() <= 1) m_url.setPath(QString::fromStdString(default_path));
  m_network.setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
  m_timer.setSingleShot(true);
  m_timer.setTimerType(Qt::PreciseTimer);
  connect(&m_timer, &QTimer::timeout, this, &PlatformReader::OnTimeout);
}

PlatformReader::~PlatformReader() { Cancel(); }

void PlatformReader::Start(const StoreRead& read) {
  Cancel();
  m_read = read;
  m_read_deadline = MonotonicNow() + read.wait;
  SendRequest();
}

void PlatformReader::SendRequest() {
  const TimePoint now = MonotonicNow();
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_read_deadline - now);
  const std::chrono::milliseconds wait =
      std::clamp(remaining, std::chrono::milliseconds(0), kMaxRequestWait);
  m_next_request = now + wait;
  QUrl url = m_url;
  if (m_read.after > 0) {
    QUrlQuery query;
    query.addQueryItem("after", QString::number(m_read.after));
    query.addQueryItem("wait_ms", QString::number(wait.count()));
    url.setQuery(query);
  }
  QNetworkRequest request(url);
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setRawHeader("Accept-Encoding", "identity");
  // A new connection for each read, because an open one may have gone silent permanently while new
  // ones still work.
  request.setRawHeader("Connection", "close");
  m_reply = m_network.get(request);
  connect(m_reply, &QNetworkReply::metaDataChanged, this, &PlatformReader::OnHead);
  connect(m_reply, &QNetworkReply::downloadProgress, this, &PlatformReader::CheckSize);
  connect(m_reply, &QNetworkReply::finished, this, &PlatformReader::Finish);
  m_timer.start(wait.count() > 0 ? wait + kHeadTimeout : kResponseTimeout);
}

void PlatformReader::OnTimeout() {
  if (m_reply == nullptr) return EndOrGoOn();
  Fail("no response within the time limit");
}

void PlatformReader::OnHead() { m_timer.start(kResponseTimeout); }

void PlatformReader::OnUnchanged() {
  Cancel();
  const TimePoint now = MonotonicNow();
  if (now >= m_next_request) return EndOrGoOn();
  // A service that does not hold the request is not asked more often for that.
  m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(m_next_request - now));
}

void PlatformReader::EndOrGoOn() {
  if (MonotonicNow() >= m_read_deadline) return m_events.OnPlatformUnchanged();
  SendRequest();
}

void PlatformReader::CheckSize() {
  if (m_reply == nullptr) return;
  if (m_reply->bytesAvailable() > static_cast<qint64>(kMaxConfigurationBytes)) {
    Fail("response is longer than " + std::to_string(kMaxConfigurationBytes) + " bytes");
  }
}

void PlatformReader::Finish() {
  if (m_reply == nullptr) return;
  const int status = m_reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (m_reply->error() != QNetworkReply::NoError && status != kStatusNotModified) {
    return Fail(m_reply->errorString().toStdString());
  }
  if (status == kStatusNotModified) return OnUnchanged();
  bool has_version = false;
  const quint64 version = m_reply->rawHeader(kVersionHeader).toULongLong(&has_version);
  if (status != kStatusOk || !has_version) return Fail("unexpected status or version header");
  const QByteArray text = m_reply->readAll();
  Cancel();
  m_events.OnPlatformChanged(version, {text.constData(), static_cast<std::size_t>(text.size())});
}

void PlatformReader::Cancel() {
  m_timer.stop();
  QNetworkReply* reply = std::exchange(m_reply, nullptr);
  if (reply == nullptr) return;
  reply->disconnect(this);
  reply->abort();
  reply->deleteLater();
}

void PlatformReader::Fail(std::string_view detail) {
  Cancel();
  m_events.OnPlatformFailed(detail);
}

}  // namespace damaskhollow
