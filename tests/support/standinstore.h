#ifndef DAMASKHOLLOW_TESTS_SUPPORT_STANDINSTORE_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_STANDINSTORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "support/httpserver.h"

namespace damaskhollow::test {

// A stand-in of the users' metadata store, as far as it can be read: range and watch.
class StandInStore {
 public:
  enum class Mode { kServing, kBusy, kTooMany, kAborting, kSilent };

  StandInStore();

  Endpoint Address() const { return m_address; }
  void SetMode(Mode mode) { m_mode = mode; }
  // Items on one page of a range.
  void SetPageSize(std::size_t items) { m_page_size = items; }

  void Put(const std::string& key, const std::string& value);
  // Stores text as the value's encoding, so that it need not be base64.
  void PutEncoded(const std::string& key, const std::string& encoded);
  void Delete(const std::string& key);
  // Forgets which items changed when; watches from before get 410.
  void CompactHistory();

  std::size_t Ranges() const { return m_ranges; }
  std::size_t Watches() const { return m_watches; }

 private:
  struct Item {
    std::string encoded;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
  };
  struct PendingWatch {
    ConnectionId connection;
    std::string prefix;
    std::uint64_t after = 0;
  };

  void Handle(ConnectionId connection, const HttpRequest& request);
  void SendRange(ConnectionId connection, const std::string& prefix, const std::string& after);
  void SendWatchEvents(const PendingWatch& watch);
  bool HasEvents(const PendingWatch& watch) const;
  void CompletePendingWatches();
  std::string EventsSince(const PendingWatch& watch) const;
  static std::string ItemJson(const std::string& key, const Item& item);

  HttpServer m_server;
  Endpoint m_address;
  Mode m_mode = Mode::kServing;
  std::size_t m_page_size = 500;
  std::uint64_t m_revision = 100;
  std::uint64_t m_compacted_revision = 0;
  std::map<std::string, Item> m_items;
  std::vector<Change> m_changes;
  std::vector<PendingWatch> m_pending_watches;
  std::size_t m_ranges = 0;
  std::size_t m_watches = 0;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_STANDINSTORE_H_
