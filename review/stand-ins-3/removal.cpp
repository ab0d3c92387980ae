// Two of eight instances leave at nearly the same moment, without reporting that they drain. They
// serve for the bound `drain` and a little longer and then exit. Just before, the entry of another
// instance changes. Meanwhile one machine is partitioned from the store: the one that reads the
// list of instances first. Without the disruption, no machine is partitioned.

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rig.h"

using rig::Record;

namespace {

constexpr int kMachines = 8;
constexpr double kDrainMs = 2500;  // Of the bounds.
constexpr double kExitMs = 2700;   // That bound and the time that a request takes.
constexpr double kWorkMs = 200;
constexpr int kClientsPerMachine = 6;
constexpr double kCutMs = 5300;  // Below the 5500 of a core_cut in the site file.
constexpr double kBeforeMs = 1000;

}  // namespace

int main() {
  Record::Open(rig::RecordPath());
  rig::Deployment fleet(
      [](int machine, rig::InstanceOptions& instance) {
        instance.service = "portail";
        instance.work_ms = kWorkMs;
        if (machine == kMachines - 1) instance.cold_ms = 1000;
      },
      kMachines, true);
  const std::string configuration = rig::Configuration(
      7, {{"publish", "depot.example", "/publish/", "unsafe", "2500ms", "500ms", 1, "portail", 2}},
      {"portail"});
  if (!fleet.Start(configuration)) {
    Record::Line("the nodes did not become ready");
    fleet.End(2);
  }
  // After a change, the reader is the first machine that watches the list again.
  rig::Instance& changing = *fleet.instances[kMachines - 1];
  const double changed = rig::NowMs();
  changing.SetCold(500);
  rig::SleepMs(700);
  int reader = -1;
  for (int machine = 0; machine < kMachines; ++machine) {
    const double watched = fleet.paths[machine]->LastWatchMs();
    if (watched < changed) continue;
    if (reader < 0 || watched < fleet.paths[reader]->LastWatchMs()) reader = machine;
  }
  if (reader < 0) {
    Record::Line("no machine has read the list");
    fleet.End(2);
  }
  Record::Line("the list is read first by " + fleet.nodes[reader]->Ip());
  rig::SleepMs(5000);

  std::vector<int> leaving;
  for (int machine = 0; machine < kMachines - 1 && leaving.size() < 2; ++machine) {
    if (machine != reader) leaving.push_back(machine);
  }
  std::atomic<bool> is_over{false};
  std::mutex lock;
  std::map<std::string, int> statuses;  // By request.
  std::vector<std::thread> clients;
  for (int client = 0; client < kMachines * kClientsPerMachine; ++client) {
    const int machine = client % kMachines;
    if (machine == reader) continue;  // It is not in touch.
    clients.emplace_back([&, client, machine] {
      const std::string& ip = fleet.nodes[machine]->Ip();
      rig::SleepMs(7.0 * client);
      for (int number = 0; !is_over; ++number) {
        const std::string id = "c" + std::to_string(client + 1) + "-" + std::to_string(number);
        const rig::Message answer = rig::Call(ip, fleet.ports.outbound, "POST", "/publish/" + id,
                                              "depot.example", id, 2500, "a data set");
        const std::lock_guard guard(lock);
        statuses[id] = answer.Status();
      }
    });
  }
  rig::SleepMs(2000);
  double cut_at = rig::NowMs();
  if (rig::WithTrouble()) {
    fleet.paths[reader]->SetCut(true);
    cut_at = rig::NowMs();
    Record::Line("machine " + fleet.nodes[reader]->Ip() + " is partitioned from the store");
  }
  rig::SleepMs(kBeforeMs);
  changing.SetCold(0);
  Record::Line("the entry of " + changing.Options().id + " changes");
  rig::SleepMs(50);
  std::vector<double> gone;
  for (const int machine : leaving) {
    fleet.instances[machine]->Unregister();
    gone.push_back(rig::NowMs());
    Record::Line("the store acknowledges that " + fleet.instances[machine]->Options().id +
                 " is gone");
  }
  rig::SleepMs(kExitMs - (rig::NowMs() - gone.front()));
  for (const int machine : leaving) fleet.instances[machine]->Exit();
  Record::Line("the two instances exit");
  rig::SleepMs(kCutMs - (rig::NowMs() - cut_at));
  fleet.paths[reader]->SetCut(false);
  Record::Line("the partition, if there was one, ends after " +
               std::to_string(static_cast<int>(rig::NowMs() - cut_at)) + " ms");
  rig::SleepMs(500);
  is_over = true;
  for (std::thread& client : clients) client.join();

  int late = 0;
  int lost = 0;
  for (std::size_t index = 0; index < leaving.size(); ++index) {
    double last = 0;
    int before = 0;
    for (const rig::Run& run : fleet.instances[leaving[index]]->Runs()) {
      if (run.started < gone[index]) {
        ++before;
        continue;
      }
      last = std::max(last, run.started - gone[index]);
      if (run.started - gone[index] <= kDrainMs) continue;
      ++late;
      const int status = statuses[run.request_id];
      if (status != 200) ++lost;
      Record::Line("request " + run.request_id + " reaches " + run.instance + " " +
                   std::to_string(static_cast<int>(run.started - gone[index])) +
                   " ms after the acknowledgement that it is gone; its client gets " +
                   std::to_string(status));
    }
    Record::Line("instance " + fleet.instances[leaving[index]]->Options().id + ": " +
                 std::to_string(before) + " requests before, the last one " +
                 std::to_string(static_cast<int>(last)) + " ms after it was gone");
  }
  Record::Line(std::to_string(late) + " requests reached an instance later than " +
               std::to_string(static_cast<int>(kDrainMs)) + " ms; " + std::to_string(lost) +
               " of these began to run and got no success");
  Record::Line(late > 0 ? "DRAIN is broken" : "DRAIN held");
  fleet.End(late > 0 ? 1 : 0);
}
