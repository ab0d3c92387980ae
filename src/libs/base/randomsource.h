#ifndef DAMASKHOLLOW_BASE_RANDOMSOURCE_H_
#define DAMASKHOLLOW_BASE_RANDOMSOURCE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

namespace damaskhollow {

// Seeded random numbers for policies, so that a decision can be repeated from its seed.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : m_engine(seed) {}

  // A number in [0, bound). `bound` must be above zero.
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_engine);
  }

  // A number in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

  std::uint64_t Next() { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

// A seed from the operating system, for production use.
std::uint64_t SystemSeed();

// A hash that is the same on every node and in every release. Rendezvous hashing depends on it.
std::uint64_t StableHash(std::string_view key, std::string_view member);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_RANDOMSOURCE_H_
