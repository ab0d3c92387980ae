// Plays one case of the review: scenario CASE RECORD FOLDER, with the variable TROUBLE. Exits with
// 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
#include <cstdlib>

#include "fleet.h"

namespace review {

int PlayCallerService(const std::string& folder, Record& record, bool trouble);
int PlayHighRank(const std::string& folder, Record& record, bool trouble);
int PlayLongConfiguration(const std::string& folder, Record& record, bool trouble);
int PlayPipeline(const std::string& folder, Record& record, bool trouble);
int PlaySmuggled(const std::string& folder, Record& record, bool trouble);

namespace {

using Play = int (*)(const std::string& folder, Record& record, bool trouble);

const std::map<std::string, Play> kPlays{{"caller-service", PlayCallerService},
                                         {"high-rank", PlayHighRank},
                                         {"long-configuration", PlayLongConfiguration},
                                         {"pipeline", PlayPipeline},
                                         {"smuggled", PlaySmuggled}};

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  constexpr int kCannotRun = 2;
  if (argc != 4 || !review::kPlays.contains(argv[1])) return kCannotRun;
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  review::Record record(argv[2]);
  int status = kCannotRun;
  try {
    status = review::kPlays.at(argv[1])(argv[3], record, trouble == nullptr || *trouble != '0');
  } catch (const std::exception& error) {
    record.Line(std::string("cannot run: ") + error.what());
  }
  record.Line("exit status " + std::to_string(status));
  // Threads of the stand-ins are still waiting for requests.
  std::_Exit(status);
}
