#include <array>
#include <zmq.hpp>

#include "wire/peertransport.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kZ85KeyLength = 40;
using Z85Key = std::array<char, kZ85KeyLength + 1>;

}  // namespace

Result<LinkKeys> GenerateLinkKeys() {
  Z85Key public_key{};
  Z85Key secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    return Failure{FailureCode::kInvalidKey, "CURVE", "this build of ZeroMQ has no CURVE support"};
  }
  return LinkKeys{public_key.data(), secret_key.data()};
}

Result<LinkKeys> LinkKeysFromSecret(const std::string& secret_key) {
  Z85Key public_key{};
  if (secret_key.size() != kZ85KeyLength ||
      zmq_curve_public(public_key.data(), secret_key.c_str()) != 0) {
    return Failure{FailureCode::kInvalidKey, "secret key", "must be a Z85 key of 40 characters"};
  }
  return LinkKeys{public_key.data(), secret_key};
}

}  // namespace damaskhollow
