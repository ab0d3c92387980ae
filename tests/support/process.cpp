#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <QDir>
#include <QFile>
#include <QFileInfo>
#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <utility>

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kKillTimeout{10000};
constexpr int kStartTimeoutMs = 10000;

}  // namespace

Process::Process(std::string_view program, std::vector<std::string> arguments, std::string log_file)
    : m_program(std::string(DAMASKHOLLOW_BIN_DIR "/").append(program)),
      m_arguments(std::move(arguments)),
      m_log_file(std::move(log_file)) {
  m_process.setProcessChannelMode(QProcess::MergedChannels);
  m_process.setStandardOutputFile(QString::fromStdString(m_log_file), QIODevice::Append);
  m_process.setChildProcessModifier([this] {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (m_full_pipe >= 0) ::dup2(m_full_pipe, STDOUT_FILENO);
    if (m_descriptor_limit == 0) return;
    const rlimit limit{m_descriptor_limit, m_descriptor_limit};
    ::setrlimit(RLIMIT_NOFILE, &limit);
  });
}

Process::~Process() {
  Kill();
  if (m_full_pipe >= 0) ::close(m_full_pipe);
}

void Process::StallOutput() {
  // Opened for reading and writing, a FIFO has a reader.
  const std::string path = m_log_file + ".fifo";
  ::mkfifo(path.c_str(), S_IRUSR | S_IWUSR);
  m_full_pipe = ::open(path.c_str(), O_RDWR | O_CLOEXEC | O_NONBLOCK);
  constexpr std::array<char, 4096> kBytes{};
  while (::write(m_full_pipe, kBytes.data(), kBytes.size()) > 0) {
  }
  ::fcntl(m_full_pipe, F_SETFL, O_RDWR);
}

void Process::Start() {
  QStringList arguments;
  for (const std::string& argument : m_arguments) arguments << QString::fromStdString(argument);
  m_process.start(QString::fromStdString(m_program), arguments);
  m_process.waitForStarted(kStartTimeoutMs);
}

void Process::Signal(int signal) {
  if (IsRunning()) ::kill(static_cast<pid_t>(m_process.processId()), signal);
}

void Process::Kill() {
  Signal(SIGKILL);
  m_process.waitForFinished(static_cast<int>(kKillTimeout.count()));
}

bool Process::WaitForExit(std::chrono::milliseconds limit) {
  return WaitUntil([this] { return !IsRunning(); }, limit);
}

std::size_t Process::PeakResidentKilobytes() const {
  std::ifstream status("/proc/" + std::to_string(m_process.processId()) + "/status");
  constexpr std::string_view kKey = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kKey)) return std::stoul(line.substr(kKey.size()));
  }
  return 0;
}

std::size_t Process::OpenDescriptors() const {
  if (!IsRunning()) return 0;
  const QDir folder(QString("/proc/%1/fd").arg(m_process.processId()));
  return folder.entryList(QDir::System | QDir::AllEntries | QDir::NoDotAndDotDot).size();
}

void Process::LimitDescriptors(std::size_t count) {
  if (!IsRunning()) return;
  const auto pid = static_cast<pid_t>(m_process.processId());
  rlimit limit{};
  if (::prlimit(pid, RLIMIT_NOFILE, nullptr, &limit) != 0) return;
  limit.rlim_cur = std::min<rlim_t>(count, limit.rlim_max);
  ::prlimit(pid, RLIMIT_NOFILE, &limit, nullptr);
}

void Process::TakeFreeDescriptors() {
  // Descriptors take the lowest free number, so that all numbers below are in use, or nearly all.
  const QDir folder(QString("/proc/%1/fd").arg(m_process.processId()));
  std::size_t lowest_free = 0;
  while (folder.exists(QString::number(lowest_free)) ||
         QFileInfo(folder, QString::number(lowest_free)).isSymLink()) {
    ++lowest_free;
  }
  LimitDescriptors(lowest_free);
}

std::string Process::Output() const {
  std::ifstream file(m_log_file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace damaskhollow::test
