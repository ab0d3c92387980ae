// Clients send two requests of a safe route behind each other on one connection. The second has a
// body of 100 KB. Without the disruption, each client waits for the first answer before it sends
// the second request.

#include <thread>
#include <vector>

#include "rig.h"

using rig::Record;

namespace {

constexpr int kMachines = 4;
constexpr int kClients = 24;
constexpr int kDeadlineMs = 2500;
constexpr int kTimeoutMs = 1200;  // Of the route.
constexpr double kSlackMs = 500;  // RULES.md: "half a second later".
constexpr std::size_t kBodyBytes = 100000;

struct Outcome {
  bool counts = true;  // Unless the client abandoned it, as the node hadn't read it.
  int status = 0;      // 0: no answer before the deadline.
  double answered_after = 1e9;
};

}  // namespace

int main() {
  Record::Open(rig::RecordPath());
  rig::Deployment fleet([](int, rig::InstanceOptions& instance) { instance.work_ms = 60; });
  const std::string configuration = rig::Configuration(
      7, {{"browse", "depot.example", "/browse/", "safe", "1200ms", "600ms", 1, "portail", 2}},
      {"portail", "entrepot"});
  if (!fleet.Start(configuration)) {
    Record::Line("the nodes did not become ready");
    fleet.End(2);
  }
  const bool with_trouble = rig::WithTrouble();
  std::vector<Outcome> first(kClients);
  std::vector<Outcome> second(kClients);
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      rig::SleepMs(250.0 * client);
      const std::string& ip = fleet.nodes[client % kMachines]->Ip();
      const std::string name = "c" + std::to_string(client);
      const std::string one = rig::RequestText("POST", "/browse/" + name + "-1", "depot.example",
                                               name + "-1", kDeadlineMs, "small query");
      const std::string two =
          rig::RequestText("POST", "/browse/" + name + "-2", "depot.example", name + "-2",
                           kDeadlineMs, std::string(kBodyBytes, 'q'));
      rig::Socket socket;
      if (!socket.Connect(ip, fleet.ports.outbound, 1000)) {
        Record::Line(name + ": no connection");
        return;
      }
      const auto read = [&](const std::string& id, double sent, Outcome& outcome) {
        rig::Message answer;
        bool has_answer = socket.Read(answer, sent + 1000, "POST");
        if (!has_answer) {
          // A client abandons an idempotent request that the node has not read after a second.
          const std::size_t unread = socket.UnreadByPeer();
          Record::Line(id + ": no answer after 1 s; bytes that the node has not read: " +
                       std::to_string(unread));
          if (unread > 0) {
            outcome.counts = false;
            return;
          }
          has_answer = socket.Read(answer, sent + kDeadlineMs, "POST");
        }
        if (has_answer) {
          outcome.status = answer.Status();
          outcome.answered_after = rig::NowMs() - sent;
        }
        Record::Line(id + " at " + ip + ": status " + std::to_string(outcome.status) + " after " +
                     std::to_string(static_cast<int>(rig::NowMs() - sent)) + " ms");
      };
      double sent = rig::NowMs();
      socket.Send(with_trouble ? one + two : one);
      read(name + "-1", sent, first[client]);
      if (!with_trouble) {
        sent = rig::NowMs();
        socket.Send(two);
      }
      read(name + "-2", sent, second[client]);
    });
  }
  for (std::thread& client : clients) client.join();

  int unanswered = 0;
  int late = 0;
  for (const auto* outcomes : {&first, &second}) {
    for (const Outcome& outcome : *outcomes) {
      if (!outcome.counts || outcome.answered_after <= kTimeoutMs) continue;
      ++unanswered;
      if (outcome.answered_after > kTimeoutMs + kSlackMs) ++late;
    }
  }
  std::size_t runs = 0;
  for (const auto& instance : fleet.instances) {
    for (const rig::Run& run : instance->Runs()) {
      ++runs;
      Record::Line("instance " + run.instance + " ran " + run.request_id + ", body " +
                   std::to_string(run.body_bytes) + " bytes");
    }
  }
  // "Of the requests that are still unanswered at their route's timeout, more than half have no
  // answer half a second later"; "eight or more of them, and over a quarter".
  const bool is_broken = late >= 8 && late * 2 > unanswered;
  Record::Line(std::to_string(2 * kClients) + " requests sent, " + std::to_string(runs) +
               " ran; unanswered at the route's timeout: " + std::to_string(unanswered) +
               ", of these without an answer half a second later: " + std::to_string(late));
  Record::Line(is_broken ? "CONFIG is broken" : "CONFIG held");
  fleet.End(is_broken ? 1 : 0);
}
