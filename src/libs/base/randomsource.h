#ifndef DAMASKHOLLOW_BASE_RANDOMSOURCE_H_
#define DAMASKHOLLOW_BASE_RANDOMSOURCE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

namespace damaskhollow {

// A seeded random number generator for policies, whose decisions are therefore reproducible from
// the seed.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : m_engine(seed) {}

  // Returns a uniformly distributed integer in [0, bound). `bound` must be greater than zero.
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_engine);
  }

  // Returns a uniformly distributed number in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

  // Returns 64 random bits.
  std::uint64_t Next() { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

// Returns a seed from the operating system, for production use.
std::uint64_t SystemSeed();

// Hashes a pair of strings. The result is the same on every node and in every release, as required
// for rendezvous hashing.
std::uint64_t StableHash(std::string_view key, std::string_view member);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_RANDOMSOURCE_H_
