// Another writer puts long values that nobody can read under the prefix of the instances. Then an
// instance reports that it is draining. Looks for requests that still reach it, and for what is
// lost when it exits.
#include "fleet.h"

namespace review {

namespace {

constexpr std::size_t kMachines = 4;
constexpr std::size_t kEntries = 6;
constexpr std::size_t kEntryBytes = 1000000;  // Of 1048576 that a value may have.
constexpr milliseconds kDrain{2500};
constexpr milliseconds kUntilExit{5000};
constexpr std::chrono::seconds kTraffic{12};  // After the instance has begun to drain.

}  // namespace

int PlayLargeEntries(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new Fleet(folder);  // Never destroyed, as threads use it until the end.
  std::mutex lock;
  std::vector<std::pair<Clock::time_point, std::string>> arrivals;  // At the leaving instance.
  std::atomic<bool> has_exited{false};
  for (std::size_t index = 0; index < kMachines; ++index) {
    fleet.Add("portal", [&, index](Connection& connection, const Message&, const Run& run) {
      if (index == 0) {
        const std::lock_guard guard(lock);
        arrivals.emplace_back(Clock::now(), run.request_id);
      }
      std::this_thread::sleep_for(milliseconds(150));
      if (index == 0 && has_exited) return false;
      return connection.Send(Response(200, fleet.At(index).App().Fields(run), "done"));
    });
  }
  const std::vector<std::string> routes{Route("r1", "/look/", "safe", "portal"),
                                        Route("r2", "/put/", "unsafe", "portal")};
  if (!fleet.Start(Configuration(1, routes, {"portal"}), "/look/start")) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  std::atomic<bool> ends{false};
  std::atomic<int> answered{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> clients;
  for (std::size_t index = 0; index < 2 * kMachines; ++index) {
    clients.emplace_back([&, index] {
      while (!ends) {
        const bool is_safe = index % 2 == 0;
        const auto result = fleet.Call(fleet.At(index / 2), is_safe ? "GET" : "POST",
                                       is_safe ? "/look/x" : "/put/x");
        ++(result.status == 200 ? answered : failed);
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (std::size_t index = 0; index < kEntries && trouble; ++index) {
    fleet.Platform().Put("servers/blob-" + std::to_string(index), std::string(kEntryBytes, 'x'));
  }
  if (trouble) {
    record.Line(std::to_string(kEntries) + " entries of another writer, of " +
                std::to_string(kEntryBytes) + " bytes each that can't be read");
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.PutEntry(0, "draining");
  const auto acknowledged = Clock::now();
  record.Line("the store has accepted that instance i-0 is draining");
  std::this_thread::sleep_for(kUntilExit);
  const int failed_before = failed;
  has_exited = true;
  fleet.Platform().Delete("servers/i-0");
  fleet.At(0).App().Exit();
  record.Line("instance i-0 exits, and its entry is removed");
  std::this_thread::sleep_for(kTraffic - kUntilExit);
  ends = true;
  for (std::thread& client : clients) client.join();
  std::size_t late = 0;
  double last = 0.0;
  {
    const std::lock_guard guard(lock);
    for (const auto& [time, id] : arrivals) {
      const std::chrono::duration<double> after = time - acknowledged;
      if (after <= kDrain) continue;
      ++late;
      last = after.count();
      if (late <= 5) {
        record.Line("request " + id + " reached i-0 " + std::to_string(after.count()) +
                    " s after that");
      }
    }
  }
  record.Line(std::to_string(late) +
              " requests reached i-0 later than 2.5 s after that, the last " +
              std::to_string(last) + " s after it");
  record.Line(std::to_string(answered) + " requests answered, " + std::to_string(failed_before) +
              " failed before the exit and " + std::to_string(failed - failed_before) +
              " after it");
  for (auto& machine : fleet.Machines()) machine->Kill();
  return late > 0 ? 1 : 0;
}

}  // namespace review
