#ifndef DAMASKHOLLOW_TESTS_SUPPORT_PROCESS_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_PROCESS_H_

#include <QProcess>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhollow::test {

// Runs a program from the build folder. The program is killed when this object is destroyed, and
// also when the test process exits or crashes.
class Process {
 public:
  // The program's output is appended to `log_file`.
  Process(std::string_view program, std::vector<std::string> arguments, std::string log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Starts the program. May be called again after it has exited.
  void Start();

  // Sends a signal, for instance SIGSTOP, SIGCONT, SIGTERM or SIGKILL, if the program is running.
  void Signal(int signal);

  // Sends SIGKILL and waits until the program has exited.
  void Kill();

  // Runs the event loop until the program has exited. Returns false on a timeout.
  bool WaitForExit(std::chrono::milliseconds limit);

  bool IsRunning() const { return m_process.state() != QProcess::NotRunning; }
  int ExitStatus() const { return m_process.exitCode(); }
  // Whether a signal ended the last run; ExitStatus() then returns its number.
  bool EndedBySignal() const { return m_process.exitStatus() == QProcess::CrashExit; }

  // Returns the peak resident set size (VmHWM); 0 if the program is not running.
  std::size_t PeakResidentKilobytes() const;

  // Returns the number of open descriptors; 0 if the program is not running.
  std::size_t OpenDescriptors() const;

  // Lets the running program open descriptors with numbers below `count` only. The hard limit
  // stays, so that the limit can be raised again.
  void LimitDescriptors(std::size_t count);

  // Takes all free descriptors away from the running program.
  void TakeFreeDescriptors();

  // Returns the output of all runs so far.
  std::string Output() const;

  // Lets later runs open descriptors with numbers below `count` only, and never more; 0: no limit.
  void SetDescriptorLimit(std::size_t count) { m_descriptor_limit = count; }

  // Lets later runs write to a pipe that is full and that nobody reads, instead of the log file.
  void StallOutput();

  void SetArguments(std::vector<std::string> arguments) { m_arguments = std::move(arguments); }

 private:
  std::string m_program;
  std::vector<std::string> m_arguments;
  std::string m_log_file;
  std::size_t m_descriptor_limit = 0;
  int m_full_pipe = -1;
  QProcess m_process;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_PROCESS_H_
