#include "damaskhollow/keygencommand.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <system_error>

#include "wire/peertransport.h"

namespace damaskhollow {

namespace {

constexpr char kUsage[] = R"(Generates the CURVE key pair of one node.

Usage:
  damaskhollow keygen [--secret-key-file=FILE]
  damaskhollow keygen (-h | --help)

Options:
  --secret-key-file=FILE  Write the secret key to this file, which must not exist yet and is
                          readable by its owner only, and print only the public key.
                          Without this option both keys are printed.
  -h --help               Show this text.

Set peer_public_key in the declaration to the public key. Pass the path of the secret key file to
the node with --secret-key-file.
)";

// A kFileNotCreated failure for `path` with the system's text for the current errno.
Failure ErrnoFailure(const std::string& path) {
  return Failure{FailureCode::kFileNotCreated, path, std::generic_category().message(errno)};
}

// Writes the key to a new file with mode 0600; removes the file if the write is incomplete.
Result<void> WriteSecretKey(const std::string& path, const std::string& secret_key) {
  constexpr mode_t kOwnerOnly = 0600;
  // O_EXCL prevents overwriting a key that is in use and following a symbolic link.
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnly);
  if (file < 0) return ErrnoFailure(path);
  const std::string line = secret_key + "\n";
  const bool is_written = ::write(file, line.data(), line.size()) == ssize_t(line.size());
  const Failure failure = ErrnoFailure(path);
  ::close(file);
  if (is_written) return BOOST_OUTCOME_V2_NAMESPACE::success();
  ::unlink(path.c_str());
  return failure;
}

Result<int> Run(const Arguments& arguments) {
  const Result<LinkKeys> keys = GenerateLinkKeys();
  if (!keys) return keys.error();
  const docopt::value& path = arguments.at("--secret-key-file");
  if (path.isString()) {
    if (Result<void> result = WriteSecretKey(path.asString(), keys.value().secret_key); !result) {
      return result.error();
    }
    std::cout << keys.value().public_key << '\n';
    return kSuccessStatus;
  }
  std::cout << "public_key " << keys.value().public_key << "\nsecret_key "
            << keys.value().secret_key << '\n';
  return kSuccessStatus;
}

}  // namespace

const Command& KeygenCommand() {
  static constexpr Command kCommand{"keygen", "Generate the CURVE key pair of a node", kUsage, Run};
  return kCommand;
}

}  // namespace damaskhollow
