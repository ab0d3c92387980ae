// Clients keep connections open while the operator raises the limit for header fields, and then
// send header fields that the new limit allows. Without the disruption, that limit is in force from
// the start.

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "rig.h"

using rig::Record;

namespace {

constexpr int kMachines = 4;
constexpr int kClients = 48;
constexpr std::size_t kOldLimit = 16384;
constexpr std::size_t kNewLimit = 32768;
constexpr std::size_t kFieldBytes = 20000;
constexpr int kDeadlineMs = 3000;

std::string ConfigurationWith(int version, std::size_t limit) {
  return rig::Configuration(
      version,
      {{"publish", "depot.example", "/publish/", "unsafe", "1500ms", "500ms", 1, "portail", 2}},
      {"portail", "entrepot"}, limit);
}

}  // namespace

int main() {
  Record::Open(rig::RecordPath());
  rig::Deployment fleet([](int, rig::InstanceOptions& instance) { instance.work_ms = 20; },
                        kMachines);
  const bool with_trouble = rig::WithTrouble();
  if (!fleet.Start(ConfigurationWith(7, with_trouble ? kOldLimit : kNewLimit))) {
    Record::Line("the nodes did not become ready");
    fleet.End(2);
  }
  std::vector<rig::Socket> sockets(kClients);
  int requests = 0;
  int denied = 0;
  int served = 0;
  const auto send = [&](int client, const std::string& id, const std::string& fields) {
    rig::Socket& socket = sockets[client];
    const std::string& ip = fleet.nodes[client % kMachines]->Ip();
    rig::Message answer;
    if (socket.Descriptor() < 0 && !socket.Connect(ip, fleet.ports.outbound, 1000)) return;
    ++requests;
    socket.Send(rig::RequestText("POST", "/publish/" + id, "depot.example", id, kDeadlineMs,
                                 "a data set", fields));
    const bool is_complete = socket.Read(answer, rig::NowMs() + kDeadlineMs, "POST");
    const int status = is_complete ? answer.Status() : 0;
    if (status == 200) ++served;
    const bool is_denial =
        status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
    if (is_denial) ++denied;
    if (status != 200) {
      Record::Line(id + " at " + ip + ": status " + std::to_string(status) + " " + answer.body);
    }
    if (!is_complete || answer.Header("Connection") == "close") socket.Close();
  };
  for (int client = 0; client < kClients; ++client) {
    send(client, "first-" + std::to_string(client), "");
  }
  if (with_trouble) {
    fleet.store.Put("op/config", ConfigurationWith(9, kNewLimit));
    Record::Line("the store acknowledges version 9 with maxHeaderBytes " +
                 std::to_string(kNewLimit));
  }
  rig::SleepMs(5000);  // `config` is 2.5 s.
  const std::string fields = "X-Session: " + std::string(kFieldBytes, 's') + "\r\n";
  for (int round = 0; round < 4; ++round) {
    for (int client = 0; client < kClients; ++client) {
      send(client, "large-" + std::to_string(round) + "-" + std::to_string(client), fields);
    }
  }
  const int allowed = 5 + requests / 500;
  Record::Line(std::to_string(requests) + " requests, " + std::to_string(served) + " served, " +
               std::to_string(denied) + " denied, " + std::to_string(allowed) + " allowed");
  const bool is_broken = denied > allowed;
  Record::Line(is_broken ? "DENIED is broken" : "DENIED held");
  fleet.End(is_broken ? 1 : 0);
}
