#include "damaskhollow/keygencommand.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <system_error>

#include "wire/peertransport.h"

namespace damaskhollow {

namespace {

constexpr char kUsage[] = R"(Creates the CURVE keys of one node.

Usage:
  damaskhollow keygen [--secret-key-file=FILE]
  damaskhollow keygen (-h | --help)

Options:
  --secret-key-file=FILE  Write the secret key to this new file, readable by its owner only, and print the public key alone.
                          Without it both keys are printed.
  -h --help               Show this text.

The public key belongs in the declaration as peer_public_key, the file in the node's --secret-key-file.
)";

Failure ErrnoFailure(const std::string& path) {
  return Failure{FailureCode::kFileNotCreated, path, std::generic_category().message(errno)};
}

Result<void> WriteSecretKey(const std::string& path, const std::string& secret_key) {
  constexpr mode_t kOwnerOnly = 0600;
  // O_EXCL: a key in use must not be overwritten, and no link be followed.
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
  static constexpr Command kCommand{"keygen", "Create the CURVE keys of a node", kUsage, Run};
  return kCommand;
}

}  // namespace damaskhollow
