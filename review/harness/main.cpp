#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

#include "scenarios.h"

namespace {

constexpr unsigned kLongestSeconds = 118;

}  // namespace

// Plays one scenario. Arguments: its name, the folder for record.txt. With TROUBLE=0 in the
// environment the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and 2
// if the scenario couldn't run.
int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: harness SCENARIO FOLDER\n");
    return review::kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  alarm(kLongestSeconds);  // Its nodes end with it.
  const char* trouble = std::getenv("TROUBLE");
  std::string folder = std::filesystem::temp_directory_path() / "damaskhollow-review-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) return review::kCouldNotRun;
  int status = review::kCouldNotRun;
  {
    review::Record record(std::string(argv[2]) + "/record.txt");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    status = review::PlayScenario(argv[1], record, folder, has_trouble);
    record.Line("exit " + std::to_string(status));
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code error;
    std::filesystem::remove_all(folder, error);
  }
  std::fflush(nullptr);
  _exit(status);  // Threads of stand-ins may still wait for a watch to end.
}
