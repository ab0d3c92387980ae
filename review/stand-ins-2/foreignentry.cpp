// Another writer puts entries into the store that name a service which the configuration does not
// have, at the addresses of instances that go on serving. Looks for routes that are no longer
// served.
#include "fleet.h"

namespace review {

namespace {

constexpr int kRequests = 60;  // On each of the two routes.

}  // namespace

int PlayForeignEntry(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new Fleet(folder);  // Never destroyed, as threads use it until the end.
  for (std::size_t index = 0; index < 4; ++index) fleet.Add(index < 2 ? "portal" : "export");
  const std::string first = Route("r1", "/look/", "safe", "portal");
  const std::string later = Route("r2", "/archive/", "safe", "export");
  const std::vector<std::string> services{"portal", "export"};
  if (!fleet.Start(Configuration(1, {first}, services), "/look/start")) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  fleet.Platform().Put("op/config", Configuration(2, {first, later}, services));
  record.Line("configuration 2 adds the route /archive/ to the service export");
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (std::size_t index = 0; index < 4; ++index) {
    const auto result = fleet.Call(fleet.At(index), "GET", "/archive/before");
    record.Line("before: " + fleet.At(index).Ip() + " answers /archive/ with " +
                std::to_string(result.status));
    if (result.status != 200) return 2;
  }
  for (std::size_t index = 2; index < 4 && trouble; ++index) {
    const std::string entry = "{\"service\":\"legacy\",\"address\":\"" +
                              fleet.At(index).App().Where().Text() +
                              "\",\"zone\":\"a\",\"configVersion\":\"v1\",\"slots\":9,\"state\":"
                              "\"ready\",\"cold\":\"0ms\",\"seq\":1,\"born\":1790000000000}";
    fleet.Platform().Put("servers/other-" + std::to_string(index), entry);
    record.Line("entry of another writer: servers/other-" + std::to_string(index) + " " + entry);
  }
  std::this_thread::sleep_for(std::chrono::seconds(8));
  std::map<std::string, int> served;
  for (int request = 0; request < kRequests; ++request) {
    for (const char* prefix : {"/look/", "/archive/"}) {
      Machine& machine = fleet.At(static_cast<std::size_t>(request) % 4);
      const auto result = fleet.Call(machine, "GET", prefix + std::string("x"));
      if (result.status == 200 && !result.seal.empty()) ++served[prefix];
      if (request < 4) {
        record.Line(result.request_id + " " + prefix + " at " + machine.Ip() + ": status " +
                    std::to_string(result.status) + " " + result.body);
      }
    }
  }
  for (const char* prefix : {"/look/", "/archive/"}) {
    record.Line(std::string(prefix) + ": " + std::to_string(served[prefix]) + " of " +
                std::to_string(kRequests) + " served");
  }
  for (auto& machine : fleet.Machines()) machine->Kill();
  return served["/archive/"] * 4 < served["/look/"] ? 1 : 0;
}

}  // namespace review
