#include "scenarios.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>

namespace review {

namespace {

// A small deployment: machines of one region, each with an instance and its node.
class Fleet {
 public:
  Fleet(Record& record, std::string folder)
      : m_record(record),
        m_folder(std::move(folder)),
        m_store_port(FreePort()),
        m_peer_port(FreePort()),
        m_outbound_port(FreePort()),
        m_ready_port(FreePort()),
        m_app_port(FreePort()),
        m_store(kStoreIp, m_store_port) {}

  Store& PlatformStore() { return m_store; }
  Instance& InstanceAt(std::size_t index) { return *m_instances[index]; }
  Machine& MachineAt(std::size_t index) { return *m_machines[index]; }
  std::size_t Size() const { return m_machines.size(); }

  void AddMachine(InstanceOptions instance) {
    const std::size_t index = m_machines.size();
    instance.ip = "127.0.7." + std::to_string(index + 1);
    instance.port = m_app_port;
    instance.id = "i-" + std::to_string(index + 1);
    MachineOptions machine;
    machine.ip = instance.ip;
    machine.service = instance.service;
    machine.outbound_port = m_outbound_port;
    machine.ready_port = m_ready_port;
    machine.peer_port = m_peer_port;
    machine.store = std::string(kStoreIp) + ":" + std::to_string(m_store_port);
    machine.folder = m_folder;
    m_machines.push_back(std::make_unique<Machine>(machine, m_record));
    m_instances.push_back(std::make_unique<Instance>(instance, m_record,
                                                     [this, index] { PutEntry(index, "ready"); }));
    PutEntry(index, "ready");
  }

  double PutEntry(std::size_t index, const std::string& state) {
    const Instance& instance = *m_instances[index];
    const double time = m_store.Put("servers/" + instance.Options().id, instance.Entry(state));
    m_record.Line("store acknowledges " + instance.Options().id + " " + state);
    return time;
  }

  // Starts all nodes and waits until each is ready and the links between them are up.
  bool Start() {
    for (const auto& machine : m_machines) {
      if (!machine->Start()) return false;
    }
    for (const auto& machine : m_machines) {
      if (!machine->WaitUntilReady(15.0)) return false;
    }
    SleepFor(5.0);  // Longer than `stability`: all machines are in touch from here on.
    return true;
  }

 private:
  static constexpr const char* kStoreIp = "127.0.7.200";

  Record& m_record;
  std::string m_folder;
  int m_store_port;
  int m_peer_port;
  int m_outbound_port;
  int m_ready_port;
  int m_app_port;
  Store m_store;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::vector<std::unique_ptr<Instance>> m_instances;
};

// Sends requests in threads of their own and keeps their answers.
class Clients {
 public:
  struct Sent {
    Request request;
    std::string machine;
    Answer answer;
    bool ended = false;
  };

  explicit Clients(Record& record) : m_record(record) {}
  ~Clients() { Wait(); }

  void Start(const Machine& machine, Request request) {
    request.id = NextRequestId();
    std::size_t index = 0;
    {
      const std::lock_guard lock(m_lock);
      index = m_sent.size();
      m_sent.push_back({request, machine.Options().ip, {}, false});
    }
    ++m_open;
    std::thread([this, &machine, request, index] {
      const Answer answer = Send(machine, request);
      char text[160];
      std::snprintf(text, sizeof(text), "client %s %s at %s sent=%.3f %s", request.id.c_str(),
                    request.target.c_str(), machine.Options().ip.c_str(), answer.sent,
                    answer.status > 0  ? ("answer " + std::to_string(answer.status)).c_str()
                    : answer.timed_out ? "no answer in time"
                                       : "connection closed without an answer");
      m_record.Line(text);
      const std::lock_guard lock(m_lock);
      m_sent[index].answer = answer;
      m_sent[index].ended = true;
      --m_open;
    }).detach();
  }

  void Wait() {
    while (m_open > 0) SleepFor(0.01);
  }

  std::vector<Sent> All() {
    const std::lock_guard lock(m_lock);
    return m_sent;
  }

 private:
  Record& m_record;
  std::mutex m_lock;
  std::vector<Sent> m_sent;
  std::atomic<int> m_open{0};
};

// Sends `per_second` requests a second from now on for `seconds`, to the machines in turn.
void SendEvenly(Fleet& fleet, Clients& clients, const Request& request, double per_second,
                double seconds, const std::vector<std::size_t>& machines) {
  const double start = Now();
  const int count = static_cast<int>(per_second * seconds);
  for (int index = 0; index < count; ++index) {
    SleepUntil(start + index / per_second);
    clients.Start(fleet.MachineAt(machines[static_cast<std::size_t>(index) % machines.size()]),
                  request);
  }
}

// The route history-report of slamplan-mesh.
constexpr int kReportDeadlineMs = 8000;
constexpr double kReportWork = 0.4;
constexpr double kDrain = 2.5;

std::string ReportRoute(const std::string& service) {
  return RouteJson("report", "/report/", "safe", service, "4s", "2s", 2, 2);
}

Request ReportRequest() {
  Request request;
  request.target = "/report/month";
  request.deadline_ms = kReportDeadlineMs;
  return request;
}

// DRAIN: an instance reports `draining` while calls wait for it beside its node.
int PlayDrainQueue(Record& record, const std::string& folder, bool has_trouble) {
  Fleet fleet(record, folder);
  Clients clients(record);
  fleet.PlatformStore().Put("op/config",
                            ConfigurationJson(1, {ReportRoute("plantlog")}, {"plantlog"}));
  InstanceOptions instance;
  instance.service = "plantlog";
  instance.work = kReportWork;
  for (int index = 0; index < 2; ++index) fleet.AddMachine(instance);
  if (!fleet.Start()) return kCouldNotRun;
  // 30 a second keep 12 of the 18 slots at work.
  constexpr double kUsual = 30.0;
  constexpr double kBurst = 2.6;
  const std::vector<std::size_t> machines{0, 1};
  SendEvenly(fleet, clients, ReportRequest(), kUsual, 3.0, machines);
  record.Line(has_trouble ? "burst begins" : "no burst");
  SendEvenly(fleet, clients, ReportRequest(), has_trouble ? kUsual * kBurst : kUsual, 6.8,
             machines);
  const double left_at = fleet.PutEntry(0, "draining");
  SendEvenly(fleet, clients, ReportRequest(), kUsual, 3.0, machines);
  SleepUntil(left_at + kDrain + 0.5);
  fleet.InstanceAt(0).Exit();
  record.Line("instance i-1 ends, 0.5 s after drain");
  clients.Wait();
  int late = 0;
  int lost = 0;
  for (const Run& run : fleet.InstanceAt(0).Runs()) {
    if (run.time <= left_at + kDrain) continue;
    ++late;
    if (run.outcome != "done") ++lost;
  }
  record.Line("requests that reached i-1 later than drain after its acknowledged leaving: " +
              std::to_string(late) + ", of which " + std::to_string(lost) +
              " were lost as the instance ended");
  return late > 0 ? kBroken : kHeld;
}

// LOST: a node is stopped while calls of its clients wait at other nodes.
int PlayStopQueue(Record& record, const std::string& folder, bool has_trouble) {
  constexpr std::size_t kReportInstances = 5;
  constexpr std::size_t kStopped = kReportInstances;
  constexpr double kUsual = 62.0;  // 25 of the 45 slots of plantlog are at work.
  constexpr double kGrace = 6.0;
  constexpr double kTimeout = 7.0;
  constexpr int kStops = 2;
  Fleet fleet(record, folder);
  Clients clients(record);
  fleet.PlatformStore().Put(
      "op/config",
      ConfigurationJson(1, {RouteJson("report", "/report/", "safe", "plantlog", "7s", "5s", 2, 2)},
                        {"plantlog", "dispatch"}));
  InstanceOptions instance;
  instance.service = "plantlog";
  instance.work = kReportWork;
  for (std::size_t index = 0; index < kReportInstances; ++index) fleet.AddMachine(instance);
  instance.service = "dispatch";
  fleet.AddMachine(instance);
  if (!fleet.Start()) return kCouldNotRun;
  std::atomic<bool> goes_on{true};
  std::thread usual([&] {
    while (goes_on) SendEvenly(fleet, clients, ReportRequest(), kUsual, 0.25, {0, 1, kStopped});
  });
  SleepFor(2.0);
  // Planned: three instances of plantlog are emptied and taken away.
  for (std::size_t index = 2; index < kReportInstances; ++index) {
    fleet.PutEntry(index, "draining");
    SleepFor(1.0);
  }
  SleepFor(3.5);
  for (std::size_t index = 2; index < kReportInstances; ++index) {
    fleet.InstanceAt(index).Exit();
    fleet.PlatformStore().Delete("servers/" + fleet.InstanceAt(index).Options().id);
    fleet.MachineAt(index).Signal(SIGTERM);
  }
  SleepFor(12.0);
  struct Stop {
    double begin;
    double end;
  };
  std::vector<Stop> stops;
  Machine& stopped = fleet.MachineAt(kStopped);
  for (int round = 0; round < kStops; ++round) {
    if (!has_trouble) {
      SleepFor(15.0);
      continue;
    }
    stops.push_back({Now(), 0.0});
    stopped.Signal(SIGTERM);
    stopped.WaitForExit(kGrace);
    stops.back().end = Now();
    if (!stopped.Start() || !stopped.WaitUntilReady(10.0)) return kCouldNotRun;
    SleepFor(8.0);
  }
  goes_on = false;
  usual.join();
  clients.Wait();
  std::map<std::string, std::vector<Run>> runs;
  for (std::size_t index = 0; index < kReportInstances; ++index) {
    for (const Run& run : fleet.InstanceAt(index).Runs()) runs[run.id].push_back(run);
  }
  int broken = 0;
  int excused = 0;
  for (const Clients::Sent& sent : clients.All()) {
    const Answer& answer = sent.answer;
    const bool is_cut = answer.status == 0 && !answer.timed_out;
    if (!is_cut || sent.machine != stopped.Options().ip) continue;
    // Not counted: requests that were not read, as the port was closed already; requests whose time
    // was over; requests at which an instance was at work in the last sixth of the grace.
    const double held = answer.ended - answer.sent;
    if (held < 0.25) continue;
    for (const Stop& stop : stops) {
      if (answer.ended < stop.begin || answer.ended > stop.begin + kGrace + 1.0) continue;
      const double last_sixth = stop.begin + kGrace * 5.0 / 6.0;
      bool was_at_work = false;
      for (const Run& run : runs[sent.request.id]) {
        const bool began = run.time < stop.begin + kGrace;
        was_at_work = was_at_work || (began && (run.ended == 0 || run.ended > last_sixth));
      }
      if (held >= kTimeout || was_at_work) {
        ++excused;
        continue;
      }
      ++broken;
      char text[200];
      std::snprintf(text, sizeof(text),
                    "LOST: %s, sent %.3f s after SIGTERM, was cut %.3f s after SIGTERM without an "
                    "answer; runs: %zu",
                    sent.request.id.c_str(), answer.sent - stop.begin, answer.ended - stop.begin,
                    runs[sent.request.id].size());
      record.Line(text);
    }
  }
  record.Line("requests read and cut without an answer: " + std::to_string(broken) +
              ", and excused: " + std::to_string(excused));
  return broken > 0 ? kBroken : kHeld;
}

// BUDGET: a request that crashes instances comes again while the nodes are stopped and started in
// turn.
int PlayCrashingRequest(Record& record, const std::string& folder, bool has_trouble) {
  Fleet fleet(record, folder);
  Clients clients(record);
  fleet.PlatformStore().Put(
      "op/config", ConfigurationJson(
                       1, {RouteJson("browse", "/browse/", "safe", "portail", "2s", "600ms", 1, 2)},
                       {"portail"}));
  InstanceOptions instance;
  instance.service = "portail";
  instance.work = 0.16;
  instance.crash_paths = {"/browse/poison"};
  for (int index = 0; index < 3; ++index) fleet.AddMachine(instance);
  if (!fleet.Start()) return kCouldNotRun;
  Request poison;
  poison.target = "/browse/poison";
  poison.deadline_ms = 2500;
  const auto crashes = [&] {
    int count = 0;
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      count += fleet.InstanceAt(index).Crashes();
    }
    return count;
  };
  // The request comes once a second, at the machines in turn, where they are in touch.
  std::map<std::size_t, double> in_touch_from;
  int next = 0;
  int late_retries = 0;
  double third_crash = 0;
  const auto send_poison = [&] {
    const std::size_t index = static_cast<std::size_t>(next++) % fleet.Size();
    if (fleet.MachineAt(index).HasEnded() || Now() < in_touch_from[index]) return;
    Request request = poison;
    request.id = NextRequestId();
    const int before = crashes();
    const Answer answer = Send(fleet.MachineAt(index), request);
    SleepFor(0.1);
    const int reached = crashes() - before;
    if (third_crash == 0 && crashes() >= 3) third_crash = Now();
    const bool counts = third_crash > 0 && answer.sent > third_crash + 4.0;
    if (counts && reached > 0) ++late_retries;
    record.Line("poison " + request.id + " at " + fleet.MachineAt(index).Options().ip +
                " (in touch): answer " + std::to_string(answer.status) + ", crashed " +
                std::to_string(reached) + ", crashes so far " + std::to_string(crashes()) +
                ", retries that count so far " + std::to_string(late_retries));
  };
  const auto send_poison_for = [&](double seconds) {
    const double until = Now() + seconds;
    while (Now() < until) {
      const double begin = Now();
      send_poison();
      SleepUntil(begin + 1.0);
    }
  };
  send_poison_for(16.0);
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    if (has_trouble) {
      fleet.MachineAt(index).Signal(SIGTERM);
      in_touch_from[index] = 1e9;
      const double stopped_at = Now();
      while (!fleet.MachineAt(index).HasEnded() && Now() < stopped_at + 6.0) SleepFor(0.05);
      fleet.MachineAt(index).WaitForExit(0.1);
      if (!fleet.MachineAt(index).Start()) return kCouldNotRun;
      if (!fleet.MachineAt(index).WaitUntilReady(10.0)) return kCouldNotRun;
      in_touch_from[index] = Now() + 4.5;
    }
    send_poison_for(16.0);
  }
  record.Line("retries that reached an instance later than stability after the third crash: " +
              std::to_string(late_retries));
  return late_retries > 3 ? kBroken : kHeld;
}

// Fault: clients upload bodies within `maxBodyBytes`, and processes exceed `memoryMb`.
int PlayLargeUpload(Record& record, const std::string& folder, bool has_trouble) {
  constexpr double kMemoryMb = 260.0;  // Of the sites bdp-portail and slamplan-mesh.
  constexpr long kMaxBodyBytes = 67108864;
  constexpr std::size_t kLarge = 66000000;
  constexpr std::size_t kSmall = 20000;
  constexpr int kEndsOfFault = 3;
  constexpr double kLongest = 100.0;
  Fleet fleet(record, folder);
  Clients clients(record);
  fleet.PlatformStore().Put(
      "op/config",
      ConfigurationJson(
          1, {RouteJson("publish", "/publish/", "unsafe", "portail", "1500ms", "500ms", 1, 2)},
          {"portail"}, kMaxBodyBytes));
  InstanceOptions instance;
  instance.service = "portail";
  instance.work = 0.21;
  for (int index = 0; index < 4; ++index) fleet.AddMachine(instance);
  if (!fleet.Start()) return kCouldNotRun;
  std::atomic<bool> goes_on{true};
  Request small;
  small.method = "POST";
  small.target = "/publish/small";
  small.deadline_ms = 3000;
  small.body = std::string(1000, 'x');
  std::thread usual([&] {
    while (goes_on) SendEvenly(fleet, clients, small, 30.0, 0.5, {0, 1});
  });
  Request large = small;
  large.target = "/publish/dataset";
  large.body = std::string(has_trouble ? kLarge : kSmall, 'd');
  const std::vector<std::size_t> machines{0, 1};
  std::vector<int> ends(machines.size());
  std::vector<std::pair<std::string, double>> killed;
  std::vector<double> in_touch_from(machines.size());
  const auto is_done = [&] {
    return std::all_of(ends.begin(), ends.end(), [](int count) { return count >= kEndsOfFault; });
  };
  const double last_start = Now() + (has_trouble ? kLongest : 30.0);
  while (!is_done() && Now() < last_start) {
    for (const std::size_t index : machines) {
      if (ends[index] >= kEndsOfFault) continue;
      Machine& machine = fleet.MachineAt(index);
      // A client sends an upload that was refused (503) once more.
      SleepUntil(std::max(in_touch_from[index], Now() + 1.0));
      std::atomic<bool> ended{false};
      std::thread upload([&] {
        Request request = large;
        request.id = NextRequestId();
        const Answer answer = Send(machine, request);
        record.Line("client " + request.id + " uploads " + std::to_string(request.body.size()) +
                    " bytes at " + machine.Options().ip + ": " +
                    (answer.status > 0 ? "answer " + std::to_string(answer.status)
                                       : std::string("connection closed without an answer")));
        ended = true;
      });
      // The platform: it ends a process that exceeds its memory, and starts it again.
      Machine::Memory memory;
      while (!ended && memory.peak <= kMemoryMb) {
        memory = machine.PeakMemory();
        SleepFor(0.0005);
      }
      const bool exceeded = memory.peak > kMemoryMb;
      if (exceeded) {
        killed.emplace_back(machine.Options().ip, Now());
        machine.SendKill();
      }
      upload.join();
      char text[200];
      std::snprintf(text, sizeof(text),
                    "machine %s: memory reached %.0f MB of %.0f MB (%.0f MB of it mapped files)%s",
                    machine.Options().ip.c_str(), memory.peak, kMemoryMb, memory.files,
                    exceeded ? "; the platform ends the process" : "");
      record.Line(text);
      if (!exceeded) continue;
      ++ends[index];
      SleepFor(0.5);
      if (!machine.Start() || !machine.WaitUntilReady(10.0)) return kCouldNotRun;
      in_touch_from[index] = Now() + 4.5;  // Longer than `stability`.
    }
  }
  goes_on = false;
  usual.join();
  clients.Wait();
  int cut = 0;
  for (const Clients::Sent& sent : clients.All()) {
    for (const auto& [ip, time] : killed) {
      const bool was_open = sent.answer.sent < time && sent.answer.ended >= time;
      if (sent.answer.status == 0 && sent.machine == ip && was_open) ++cut;
    }
  }
  std::string text = "times that the process was ended for its memory, by machine:";
  for (const int count : ends) text += " " + std::to_string(count);
  record.Line(text + "; small publications cut with it, without an answer: " + std::to_string(cut));
  return is_done() ? kBroken : kHeld;
}

// CONFIG: the store is silent for a moment after a change, and the next change is not followed.
int PlaySilentStore(Record& record, const std::string& folder, bool has_trouble) {
  constexpr double kSilence = 3.0;
  constexpr double kStability = 4.0;
  constexpr double kConfig = 2.5;
  Fleet fleet(record, folder);
  Clients clients(record);
  InstanceOptions instance;
  instance.work = 0.05;
  for (const char* service : {"dispatch", "dispatch", "plantlog", "plantlog"}) {
    instance.service = service;
    fleet.AddMachine(instance);
  }
  const auto route = [](const std::string& service) {
    return RouteJson("lookup", "/lookup/", "safe", service, "2s", "600ms", 1, 2);
  };
  const auto booking =
      RouteJson("booking", "/booking/", "unsafe", "dispatch", "2500ms", "500ms", 1, 2);
  const auto put = [&](int version, const std::vector<std::string>& routes) {
    const double time = fleet.PlatformStore().Put(
        "op/config", ConfigurationJson(version, routes, {"dispatch", "plantlog"}));
    record.Line("store acknowledges version " + std::to_string(version));
    return time;
  };
  put(1, {route("dispatch"), booking});
  if (!fleet.Start()) return kCouldNotRun;
  const std::vector<std::string> added{
      RouteJson("added", "/added/", "safe", "dispatch", "2s", "600ms", 1, 2)};
  put(2, {route("dispatch"), booking, added.front()});
  SleepFor(0.1);
  if (has_trouble) fleet.PlatformStore().SetSilent(true);
  record.Line(has_trouble ? "the store is silent" : "the store goes on");
  SleepFor(kSilence);
  fleet.PlatformStore().SetSilent(false);
  record.Line("the store answers");
  SleepFor(kStability + 0.3);
  // The route moves to another service, the other ones are removed.
  const double changed_at = put(3, {route("plantlog")});
  Request lookup;
  lookup.target = "/lookup/x";
  lookup.deadline_ms = 2000;
  Request removed = lookup;
  removed.method = "POST";
  removed.target = "/booking/x";
  SleepUntil(changed_at + kConfig + 0.1);
  for (int count = 0; count < 20; ++count) {
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      clients.Start(fleet.MachineAt(index), lookup);
      clients.Start(fleet.MachineAt(index), removed);
    }
    SleepFor(0.25);
  }
  clients.Wait();
  int by_old_service = 0;
  int on_removed_route = 0;
  double last = 0;
  const auto sent = clients.All();
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    for (const Run& run : fleet.InstanceAt(index).Runs()) {
      const bool is_removed = run.target == removed.target;
      const bool is_old = fleet.InstanceAt(index).Options().service == "dispatch";
      if (is_removed) ++on_removed_route;
      if (!is_removed && is_old) ++by_old_service;
      if (is_removed || is_old) last = std::max(last, run.time);
    }
  }
  char text[200];
  std::snprintf(text, sizeof(text),
                "of %zu requests sent later than `config` after version 3: run by the old service "
                "%d, run on a removed route %d, the last %.1f s after its acknowledgement",
                sent.size(), by_old_service, on_removed_route, last > 0 ? last - changed_at : 0.0);
  record.Line(text);
  return by_old_service + on_removed_route > 0 ? kBroken : kHeld;
}

}  // namespace

int PlayScenario(const std::string& name, Record& record, const std::string& folder,
                 bool has_trouble) {
  if (name == "drain-queue") return PlayDrainQueue(record, folder, has_trouble);
  if (name == "stop-queue") return PlayStopQueue(record, folder, has_trouble);
  if (name == "crashing-request") return PlayCrashingRequest(record, folder, has_trouble);
  if (name == "large-upload") return PlayLargeUpload(record, folder, has_trouble);
  if (name == "silent-store") return PlaySilentStore(record, folder, has_trouble);
  std::fprintf(stderr, "no scenario %s\n", name.c_str());
  return kCouldNotRun;
}

}  // namespace review
