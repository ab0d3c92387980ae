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

#include "configuration/evacuations.h"
#include "configuration/fetchplan.h"

namespace damaskhollow {

// Receives the results of reads from a DocumentReader.
class PlatformEvents {
 public:
  virtual ~PlatformEvents() = default;

  // The service returned `version` of the document.
  virtual void OnPlatformChanged(std::uint64_t version, std::string_view text) = 0;

  // The service has no version above the one that was asked for.
  virtual void OnPlatformUnchanged() = 0;

  // The read failed: no response in time, an unexpected response, or one of more than 1 MB.
  virtual void OnPlatformFailed(std::string_view detail) = 0;

  // The service has reported which data centres are evacuated. A reader whose service has no
  // evacuations never calls it; it does not end a read.
  virtual void OnEvacuationsRead(const EvacuationSet& /*evacuations*/) {}
};

// Interface for reading one document of the platform.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;

  // Starts a read. A read that still runs is aborted without an event; every other read that is not
  // cancelled ends with exactly one event.
  virtual void Start(const StoreRead& read) = 0;

  // Aborts the read that runs, if any, without an event.
  virtual void Cancel() = 0;
};

// Creates the reader of a document; `events` must outlive it.
using MakeDocumentReader = std::function<std::unique_ptr<DocumentReader>(PlatformEvents& events)>;

// Reads one of the platform's services over HTTP, as described in docs/platform.md. A read that may
// wait consists of several shorter requests, each on a new connection, so that a connection that
// goes silent is noticed early. Used by DocumentSync on the main thread.
class PlatformReader : public QObject, public DocumentReader {
 public:
  // `url` is the address of the service; `default_path` is used if it has no path.
  PlatformReader(const std::string& url, const std::string& default_path, PlatformEvents& events);
  ~PlatformReader() override;

  void Start(const StoreRead& read) override;
  void Cancel() override;

 private:
  // Sends the next request of the read that runs.
  void SendRequest();
  void OnTimeout();
  // Handles a response that says that there is no newer version.
  void OnUnchanged();
  // Sends the next request, or ends the read if its wait is over.
  void EndOrGoOn();
  // Allows more time once the response has begun.
  void OnHead();
  void CheckSize();
  void Finish();
  void Fail(std::string_view detail);

  QUrl m_url;
  PlatformEvents& m_events;
  QNetworkAccessManager m_network;
  QNetworkReply* m_reply = nullptr;
  QTimer m_timer;  // Limits the running request, or delays the next one.
  StoreRead m_read;
  TimePoint m_read_deadline{};  // When the read ends without a change.
  TimePoint m_next_request{};   // Earliest time of the next request.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_PLATFORMREADER_H_
