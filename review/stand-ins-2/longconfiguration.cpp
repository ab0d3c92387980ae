// The configuration grows by many routes and stays within the size of a value. Then all processes
// are killed and start again. Looks for routes of the newest version that are not served, and for a
// system that does not recover.
#include "fleet.h"

namespace review {

namespace {

constexpr std::size_t kValueBytes = 1048576;  // From the settings: the largest value of the store.
constexpr std::size_t kRoutesPerChange = 350;
constexpr std::size_t kChanges = 17;
constexpr int kRequests = 40;

std::string GrownConfiguration(int version, std::size_t count) {
  std::vector<std::string> routes{Route("r1", "/look/", "safe", "portal")};
  for (std::size_t index = 0; index < count; ++index) {
    const std::string name = std::to_string(100000 + index);
    routes.push_back(Route("r-" + name, "/p" + name + "/", "safe", "portal"));
  }
  return Configuration(version, routes, {"portal"});
}

int CountServed(Fleet& fleet, const std::string& target, Record& record) {
  int served = 0;
  int not_found = 0;
  for (int request = 0; request < kRequests; ++request) {
    const auto result = fleet.Call(fleet.At(static_cast<std::size_t>(request) % 4), "GET", target);
    if (result.status == 200) ++served;
    if (result.status == 404) ++not_found;
  }
  record.Line("GET " + target + ": " + std::to_string(served) + " of " + std::to_string(kRequests) +
              " served, " + std::to_string(not_found) + " answered 404");
  return served;
}

// Looks whether the newest configuration, which has the route of `target`, is in force, and whether
// the system recovers when all processes are killed. Returns the status of the case.
int CheckInForceAndRecovery(Fleet& fleet, const std::string& target, Record& record) {
  // The bound of configuration is 2.5 s; a machine that is busy with the change gets more.
  std::this_thread::sleep_for(std::chrono::seconds(8));
  const int new_served = CountServed(fleet, target, record);
  const int before = CountServed(fleet, "/look/x", record);
  for (auto& machine : fleet.Machines()) machine->Kill();
  record.Line("all processes are killed");
  std::this_thread::sleep_for(milliseconds(600));
  for (auto& machine : fleet.Machines()) machine->Start();
  record.Line("all processes start again");
  std::this_thread::sleep_for(std::chrono::seconds(20));  // The bound "recover" is 15 s.
  const int after = CountServed(fleet, "/look/x", record);
  for (auto& machine : fleet.Machines()) {
    record.Line("the node at " + machine->Ip() +
                (machine->IsReady() ? " is ready" : " is not ready"));
    machine->Kill();
  }
  const bool is_stale = new_served * 2 < kRequests;
  const bool has_recovered = before * 4 < kRequests || after * 4 >= kRequests;
  if (is_stale) record.Line("CONFIG: the routes of the newest configuration are not in force");
  if (!has_recovered) record.Line("RECOVER: less than a quarter is served 20 s after the restart");
  return is_stale || !has_recovered ? 1 : 0;
}

}  // namespace

int PlayLongConfiguration(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new Fleet(folder);  // Never destroyed, as threads use it until the end.
  for (std::size_t index = 0; index < 4; ++index) fleet.Add("portal");
  if (!fleet.Start(GrownConfiguration(1, 0), "/look/start")) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  const std::size_t changes = trouble ? kChanges : 1;
  const std::size_t count = changes * kRoutesPerChange;
  for (std::size_t change = 1; change <= changes; ++change) {
    const std::string value =
        GrownConfiguration(static_cast<int>(2 * change + 1), change * kRoutesPerChange);
    if (value.size() > kValueBytes) return 2;
    fleet.Platform().Put("op/config", value);
    record.Line("configuration " + std::to_string(2 * change + 1) + " acknowledged: " +
                std::to_string(change * kRoutesPerChange) + " routes more than at first, " +
                std::to_string(value.size()) + " of " + std::to_string(kValueBytes) + " bytes");
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  const std::string last = "/p" + std::to_string(100000 + count - 1) + "/x";
  return CheckInForceAndRecovery(fleet, last, record);
}

// A change adds two routes. One of them has a rank beyond 1000, as an operator who leaves room
// between ranks may give it.
int PlayHighRank(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new Fleet(folder);  // Never destroyed, as threads use it until the end.
  for (std::size_t index = 0; index < 4; ++index) fleet.Add("portal");
  const std::string first = Route("r1", "/look/", "safe", "portal");
  if (!fleet.Start(Configuration(1, {first}, {"portal"}), "/look/start")) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  const std::string rank = trouble ? "5000" : "5";
  std::string low = Route("r2", "/low/", "safe", "portal");
  const std::string field = "\"priority\":1";
  low.replace(low.find(field), field.size(), "\"priority\":" + rank);
  const std::string added = Route("r3", "/added/", "safe", "portal");
  fleet.Platform().Put("op/config", Configuration(3, {first, low, added}, {"portal"}));
  record.Line("configuration 3 acknowledged: the route /low/ with priority " + rank +
              " and the route /added/ with priority 1 are new");
  return CheckInForceAndRecovery(fleet, "/added/x", record);
}

}  // namespace review
