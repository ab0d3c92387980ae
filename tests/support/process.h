#ifndef DAMASKHOLLOW_TESTS_SUPPORT_PROCESS_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_PROCESS_H_

#include <QProcess>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhollow::test {

// A program of the build folder that a test started. It ends with this object, and also when the
// test process dies.
class Process {
 public:
  // `log_file` gets what the program prints; later runs append to it.
  Process(std::string_view program, std::vector<std::string> arguments, std::string log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Starts the program; also again after it ended.
  void Start();

  // Sends a signal, for instance SIGSTOP, SIGCONT, SIGTERM or SIGKILL.
  void Signal(int signal);

  // Sends SIGKILL and waits for the end.
  void Kill();

  // Whether the program ended within the limit.
  bool WaitForExit(std::chrono::milliseconds limit);

  bool IsRunning() const { return m_process.state() != QProcess::NotRunning; }
  int ExitStatus() const { return m_process.exitCode(); }

  // Most memory that the process ever had resident (VmHWM); 0 if it does not run.
  std::size_t PeakResidentKilobytes() const;

  // All that the program printed.
  std::string Output() const;

  void SetArguments(std::vector<std::string> arguments) { m_arguments = std::move(arguments); }

 private:
  std::string m_program;
  std::vector<std::string> m_arguments;
  std::string m_log_file;
  QProcess m_process;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_PROCESS_H_
