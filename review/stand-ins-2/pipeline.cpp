// Clients send further safe requests before the first has been answered. One instance of four
// breaks off one of its 50 answers. Looks for requests that a sound instance ran and that got no
// answer, as the node closed their connection.
#include <set>

#include "fleet.h"

namespace review {

namespace {

constexpr std::size_t kClients = 2;  // Each on a machine of its own.
constexpr std::size_t kMachines = 4;
constexpr std::size_t kFaulty = 2;  // The instance that breaks off answers.
constexpr std::size_t kRequestsInRow = 8;
constexpr std::size_t kAnswerBytes = 200000;
constexpr int kAnswersPerBreak = 50;
constexpr std::chrono::seconds kTraffic{40};
constexpr std::size_t kAllowed = 3;

// What one client has seen.
struct Seen {
  std::set<std::string> answered;
  std::set<std::string> closed;  // Sent on a kept connection that was closed before an answer.
  std::size_t incomplete = 0;    // Answers that ended early.
};

void RunClient(Fleet& fleet, Machine& machine, Clock::time_point until, Seen& seen) {
  while (Clock::now() < until) {
    Connection connection(Connection::Dial(machine.Outbound()));
    bool is_open = true;
    for (bool is_kept = false; is_open && Clock::now() < until; is_kept = true) {
      std::vector<std::string> ids;
      std::string bytes;
      for (std::size_t index = 0; index < (is_kept ? kRequestsInRow : 1); ++index) {
        ids.push_back(fleet.NextId());
        bytes +=
            fleet.Head("GET", is_kept && index == 0 ? "/export/long" : "/look/short", ids.back());
      }
      connection.Send(bytes);
      for (std::size_t index = 0; index < ids.size(); ++index) {
        Message answer;
        is_open = connection.Receive(answer, Clock::now() + std::chrono::seconds(6), true);
        if (is_open) {
          seen.answered.insert(ids[index]);
          if (answer.Header("connection") == "close") is_open = false;
          continue;
        }
        if (connection.error != "timeout" && is_kept) {
          // The first of these is the one whose answer ended early.
          seen.incomplete += 1;
          seen.closed.insert(ids.begin() + static_cast<std::ptrdiff_t>(index) + 1, ids.end());
        }
        break;
      }
    }
  }
}

}  // namespace

int PlayPipeline(const std::string& folder, Record& record, bool trouble) {
  auto& fleet = *new Fleet(folder);  // Never destroyed, as threads use it until the end.
  std::atomic<int> answers{0};
  std::atomic<int> breaks{0};
  for (std::size_t index = 0; index < kMachines; ++index) {
    fleet.Add(index < kFaulty ? "portal" : "export",
              [&, index](Connection& connection, const Message&, const Run& run) {
                const bool is_long = run.target == "/export/long";
                if (!is_long) std::this_thread::sleep_for(milliseconds(100));
                const std::string body(is_long ? kAnswerBytes : 200, 'a');
                // A long answer is made in two steps.
                const std::string whole = Response(200, fleet.At(index).App().Fields(run), body);
                const std::string_view rest = std::string_view(whole).substr(whole.size() / 2);
                const int count = index == kFaulty ? ++answers : 0;
                connection.Send(std::string_view(whole).substr(0, whole.size() / 2));
                if (is_long) std::this_thread::sleep_for(milliseconds(50));
                if (!trouble || !is_long || count < kAnswersPerBreak) return connection.Send(rest);
                answers = 0;
                ++breaks;
                return false;
              });
  }
  const std::vector<std::string> routes{Route("r1", "/look/", "safe", "portal"),
                                        Route("r2", "/export/", "safe", "export")};
  if (!fleet.Start(Configuration(1, routes, {"portal", "export"}), "/look/start")) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  record.Line("traffic starts");
  std::vector<Seen> seen(kClients);
  std::vector<std::thread> clients;
  for (std::size_t index = 0; index < kClients; ++index) {
    clients.emplace_back(
        [&, index] { RunClient(fleet, fleet.At(index), Clock::now() + kTraffic, seen[index]); });
  }
  for (std::thread& client : clients) client.join();
  std::size_t answered = 0;
  std::size_t lost = 0;
  std::size_t incomplete = 0;
  for (const Seen& own : seen) {
    answered += own.answered.size();
    incomplete += own.incomplete;
    for (const std::string& id : own.closed) {
      for (std::size_t index = 0; index < kMachines; ++index) {
        if (index == kFaulty || fleet.At(index).App().CountRuns(id) == 0) continue;
        ++lost;
        record.Line("request " + id + " was sent on a kept connection, ran on the sound instance " +
                    fleet.At(index).App().Id() +
                    ", and its connection was closed without an answer");
      }
    }
  }
  record.Line(std::to_string(answered) + " requests answered; instance i-2 broke off " +
              std::to_string(breaks) + " answers; " + std::to_string(incomplete) +
              " connections were closed in an answer");
  record.Line(std::to_string(lost) + " requests that sound instances ran were lost, " +
              std::to_string(kAllowed) + " are allowed");
  for (auto& machine : fleet.Machines()) machine->Kill();
  return lost > kAllowed ? 1 : 0;
}

}  // namespace review
