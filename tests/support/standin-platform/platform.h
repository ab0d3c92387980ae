#ifndef DAMASKHOLLOW_TESTS_SUPPORT_STANDIN_PLATFORM_PLATFORM_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_STANDIN_PLATFORM_PLATFORM_H_

#include <QTcpServer>
#include <QUrl>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "http/bodybudget.h"
#include "http/callerconnection.h"

namespace damaskhollow::test {

// Stand-in for the platform's configuration service (/v1/configuration) and VM list (/v1/vms). A
// read with `after` is a long poll: it waits up to `wait_ms` for a version newer than `after`.
// Tests set the documents with /control/configuration and /control/vms. With /control/down?on=1 all
// reads are aborted; with /control/frozen?on=1 reads return the documents as of that time.
// With /control/unresponsive all open connections but the one of this request become silent for
// their clients, and the reads on them are never answered; new connections work. /control/reads
// returns the number of configuration reads.
class Platform : public QTcpServer, public CallerEvents {
 public:
  Platform();

  // Returns false if the server cannot listen on the address.
  bool Open(const Endpoint& endpoint);

 private:
  enum class Resource { kConfiguration, kVms };

  struct Value {
    std::uint64_t version = 0;
    std::string body;
  };

  using Values = std::array<Value, 2>;  // Indexed by Resource.

  // A read that completes when a newer version is set or its wait time has expired.
  struct PendingRead {
    ConnectionId connection;
    Resource resource = Resource::kConfiguration;
    std::uint64_t after = 0;
  };

  void incomingConnection(qintptr descriptor) override;

  // CallerEvents
  std::size_t BodyLimit(const HttpRequest& head) const override;
  void OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) override;
  void OnBadRequest(ExchangeId exchange, Reason reason) override;
  void OnBodySent(ExchangeId exchange, std::size_t bytes) override;
  void OnCallerDisconnected(ConnectionId connection) override;

  void Read(ConnectionId connection, Resource resource, const QUrl& url);
  void OnReadWaitExpired(std::uint64_t read_id);
  void CompletePendingReads();
  void Control(ConnectionId connection, const HttpRequest& request, const QUrl& url);
  void PutConfiguration(ConnectionId connection, const HttpRequest& request);
  void PutVms(ConnectionId connection, const HttpRequest& request);
  void SetDown(bool is_down);
  void SetFrozen(bool is_frozen);
  void MakeOthersUnresponsive(ConnectionId controller);
  void SendValue(ConnectionId connection, Resource resource);
  void SendNotModified(ConnectionId connection, Resource resource);
  void SendResponse(ConnectionId connection, int status, std::string_view body);
  const Value& Served(Resource resource) const;

  std::map<ConnectionId, std::unique_ptr<CallerConnection>> m_connections;
  std::map<ConnectionId, qintptr> m_descriptors;  // Of the open connections.
  std::map<std::uint64_t, PendingRead> m_pending_reads;
  std::uint64_t m_last_connection = 0;
  std::uint64_t m_last_read_id = 0;
  std::uint64_t m_reads = 0;
  Values m_current_values;
  Values m_frozen_values;
  bool m_is_down = false;
  bool m_is_frozen = false;
  BodyBudget m_budget;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_STANDIN_PLATFORM_PLATFORM_H_
