// Two clients send requests whose bodies stay within maxBodyBytes, while others send small ones.
// The platform kills a process that exceeds its memory and starts it again, as DEPLOY.md says.
// Looks for processes that end so, and for requests that are lost with them.
#include <set>

#include "fleet.h"

namespace review {

namespace {

constexpr std::size_t kMemoryMb = 260;
// 260 MB, in the larger of the two usual units.
constexpr std::size_t kMemoryBytes = kMemoryMb * 1024 * 1024;
constexpr std::size_t kMachines = 4;
constexpr std::size_t kUploaders = 2;  // One on each of the first machines.
constexpr std::size_t kBodyBytes = 67000000;
constexpr std::size_t kSmallBytes = 300;
constexpr int kClientsPerMachine = 4;
constexpr int kEndsToBreak = 3;
constexpr std::size_t kLostAllowed = 3;
constexpr std::chrono::seconds kTraffic{60};
constexpr milliseconds kRestartDelay{500};

struct Small {
  std::size_t answered = 0;
  std::set<std::string> closed;  // Sent on a kept connection that was closed before the answer.
};

// Sends small requests on a kept connection, one after the other.
void SendSmall(Fleet& fleet, Machine& machine, Clock::time_point until, Small& small) {
  while (Clock::now() < until) {
    try {
      Connection connection(Connection::Dial(machine.Outbound()));
      for (bool is_kept = false; Clock::now() < until; is_kept = true) {
        const std::string id = fleet.NextId();
        connection.Send(fleet.Head("GET", "/look/x", id));
        Message answer;
        if (connection.Receive(answer, Clock::now() + std::chrono::seconds(6), true)) {
          ++small.answered;
          if (answer.Header("connection") == "close") break;
          continue;
        }
        if (is_kept && connection.error != "timeout") small.closed.insert(id);
        break;
      }
    } catch (const std::exception&) {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
}

}  // namespace

int PlayLargeBodies(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new Fleet(folder, kMemoryMb);  // Never destroyed, as threads use it until the end.
  for (std::size_t index = 0; index < kMachines; ++index) {
    fleet.Add("portal", [&, index](Connection& connection, const Message&, const Run& run) {
      std::this_thread::sleep_for(milliseconds(150));
      return connection.Send(Response(200, fleet.At(index).App().Fields(run), "done"));
    });
  }
  const std::vector<std::string> routes{Route("r1", "/look/", "safe", "portal"),
                                        Route("r2", "/put/", "unsafe", "portal")};
  if (!fleet.Start(Configuration(1, routes, {"portal"}), "/look/start")) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  record.Line("traffic starts");
  const auto until = Clock::now() + kTraffic;
  std::vector<std::atomic<int>> ends(kMachines);
  std::vector<std::atomic<std::size_t>> peaks(kMachines);
  std::atomic<bool> is_over{false};
  std::thread platform([&] {
    while (!is_over) {
      for (std::size_t index = 0; index < kMachines; ++index) {
        Machine& machine = fleet.At(index);
        const std::size_t memory = machine.Memory();
        peaks[index] = std::max(peaks[index].load(), memory);
        const bool is_over_limit = memory > kMemoryBytes;
        if (is_over_limit) machine.Kill();
        if (!is_over_limit && !machine.HasEnded()) continue;
        ++ends[index];
        record.Line("the node at " + machine.Ip() +
                    " has ended: " + std::to_string(memory / 1000000) + " MB of memory of its own");
        std::this_thread::sleep_for(kRestartDelay);
        machine.Start();
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  });
  std::vector<Small> small(kUploaders * kClientsPerMachine);
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < small.size(); ++index) {
    threads.emplace_back(
        [&, index] { SendSmall(fleet, fleet.At(index % kUploaders), until, small[index]); });
  }
  for (std::size_t index = 0; index < kUploaders; ++index) {
    threads.emplace_back([&, index] {
      Machine& machine = fleet.At(index);
      const std::string body(trouble ? kBodyBytes : kSmallBytes, 'x');
      while (Clock::now() < until && ends[index] < kEndsToBreak) {
        const auto result = fleet.Call(machine, "POST", "/put/x", body, 5000, true);
        record.Line("request " + result.request_id + " with a body of " +
                    std::to_string(body.size()) + " bytes to " + machine.Ip() + ": status " +
                    std::to_string(result.status) + " " + result.error);
        std::this_thread::sleep_for(milliseconds(1000));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  is_over = true;
  platform.join();
  std::size_t answered = 0;
  std::size_t lost = 0;
  for (const Small& own : small) {
    answered += own.answered;
    for (const std::string& id : own.closed) {
      std::size_t runs = 0;
      for (auto& machine : fleet.Machines()) runs += machine->App().CountRuns(id);
      if (runs == 0) continue;
      ++lost;
      record.Line("request " + id +
                  " was sent on a kept connection and has run; its connection "
                  "was closed without an answer");
    }
  }
  int machines_with_ends = 0;
  for (std::size_t index = 0; index < kMachines; ++index) {
    if (ends[index] >= kEndsToBreak) ++machines_with_ends;
    record.Line("the node at " + fleet.At(index).Ip() + " ended " + std::to_string(ends[index]) +
                " times, at most " + std::to_string(peaks[index] / 1000000) + " MB");
    fleet.At(index).Kill();
  }
  record.Line(std::to_string(answered) + " small requests answered, " + std::to_string(lost) +
              " lost; " + std::to_string(machines_with_ends) + " nodes ended three times");
  return machines_with_ends >= 2 || lost > kLostAllowed ? 1 : 0;
}

}  // namespace review
