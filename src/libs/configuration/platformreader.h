#ifndef DAMASKHOLLOW_CONFIGURATION_PLATFORMREADER_H_
#define DAMASKHOLLOW_CONFIGURATION_PLATFORMREADER_H_

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QObject>
#include <QTimer>
#include <QUrl>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "configuration/fetchplan.h"

namespace damaskhollow {

// Gets what came of reads of one of the platform's services.
class PlatformEvents {
 public:
  virtual ~PlatformEvents() = default;

  virtual void OnPlatformChanged(std::uint64_t version, std::string_view text) = 0;
  virtual void OnPlatformUnchanged() = 0;

  // No answer in time, an unexpected one, or one of over 1 MB.
  virtual void OnPlatformFailed(std::string_view detail) = 0;
};

// Reads one document of the platform.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;

  // Starts a read and gives up one that still runs, without an event for that. Each read that is
  // not given up ends with one event.
  virtual void Start(const StoreRead& read) = 0;
};

// Makes the reader of a document; `events` outlives it.
using MakeDocumentReader = std::function<std::unique_ptr<DocumentReader>(PlatformEvents& events)>;

// Reads one of the platform's services over HTTP (docs/platform.md).
class PlatformReader : public QObject, public DocumentReader {
 public:
  // `url` is the service's address; if it has no path, `default_path` is added.
  PlatformReader(const std::string& url, const std::string& default_path, PlatformEvents& events);
  ~PlatformReader() override;

  void Start(const StoreRead& read) override;

 private:
  void CheckSize();
  void Finish();
  void AbortRead();
  void Fail(std::string_view detail);

  QUrl m_url;
  PlatformEvents& m_events;
  QNetworkAccessManager m_network;
  QNetworkReply* m_reply = nullptr;
  QTimer m_timer;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_PLATFORMREADER_H_
