#include "base/randomsource.h"

namespace damaskhollow {

namespace {

// Continues an FNV-1a hash with further bytes.
std::uint64_t HashBytes(std::uint64_t hash, std::string_view bytes) {
  constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kFnvPrime;
  }
  return hash;
}

// The finalizer of SplitMix64. It is needed because FNV-1a gives similar names similar high bits.
std::uint64_t Mix(std::uint64_t hash) {
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

}  // namespace

std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

std::uint64_t StableHash(std::string_view key, std::string_view member) {
  constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
  std::uint64_t hash = HashBytes(kFnvOffset, key);
  hash = HashBytes(hash, std::string_view("\0", 1));
  return Mix(HashBytes(hash, member));
}

}  // namespace damaskhollow
