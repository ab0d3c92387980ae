#ifndef DAMASKHOLLOW_TESTS_SUPPORT_STANDINSTORE_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_STANDINSTORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "support/httpserver.h"

namespace damaskhollow::test {

// A stand-in for the read side of the users' metadata store: range requests (/v1/kv-range) and
// long-polling watches. Tests change its content through the functions below.
class StandInStore {
 public:
  enum class Mode { kServing, kBusy, kTooMany, kAborting, kSilent };

  StandInStore();

  Endpoint Address() const { return m_address; }
  void SetMode(Mode mode) { m_mode = mode; }
  // Sets the maximum number of items in a range response.
  void SetPageSize(std::size_t items) { m_page_size = items; }

  void Put(const std::string& key, const std::string& value);
  // Stores `encoded` in place of the base64 text of a value, for invalid encodings.
  void PutEncoded(const std::string& key, const std::string& encoded);
  void Delete(const std::string& key);
  // Discards the change history: pending watches are aborted, and watches from an older revision
  // get status 410.
  void CompactHistory();

  // Remembers the present state, which Restore() brings back.
  void SaveCopy();
  // Replaces the state by the saved copy: its items and revision, without the changes since. Begins
  // a new epoch and closes all waiting watches; a watch from a revision that the copy does not have
  // gets status 410.
  void Restore();
  // Calls Restore() after the next page of a range has been sent.
  void RestoreAfterNextPage() { m_restores_after_page = true; }
  // Sets the epoch that responses name, for responses that come late.
  void SetEpoch(std::uint64_t epoch) { m_epoch = epoch; }

  // Makes all open connections silent for their clients; pending watches are never answered. New
  // connections work.
  void MakeOpenConnectionsUnresponsive();

  // Reads that allow a stale state return the present one from now on, whatever changes later.
  void FreezeStaleState() { m_stale_items = m_items; }
  // Returns the first page of a range again in place of the next one.
  void RepeatFirstPage() { m_repeats_first_page = true; }

  std::size_t Ranges() const { return m_ranges; }
  std::size_t StaleRanges() const { return m_stale_ranges; }
  std::size_t Watches() const { return m_watches; }
  // The number of watches of one prefix that wait for a change and will be answered.
  std::size_t PendingWatches(std::string_view prefix) const;

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
  struct Copy {
    std::map<std::string, Item> items;
    std::vector<Change> changes;
    std::uint64_t revision = 0;
  };
  struct PendingWatch {
    ConnectionId connection;
    std::string prefix;
    std::uint64_t after = 0;
  };

  void Handle(ConnectionId connection, const HttpRequest& request);
  // Sends a response that names the epoch.
  void SendResponse(ConnectionId connection, int status, std::string_view body);
  void AbortWatches();
  void SendRange(ConnectionId connection, const std::map<std::string, Item>& state,
                 const std::string& prefix, const std::string& after);
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
  std::optional<std::map<std::string, Item>> m_stale_items;
  bool m_repeats_first_page = false;
  bool m_restores_after_page = false;
  std::uint64_t m_epoch = 1;
  Copy m_copy;
  std::vector<Change> m_changes;
  std::vector<PendingWatch> m_pending;
  std::size_t m_ranges = 0;
  std::size_t m_stale_ranges = 0;
  std::size_t m_watches = 0;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_STANDINSTORE_H_
