/// \file
/// Seeded randomness and stable hashing. Results are equal on every platform.
#pragma once

#include <cstdint>
#include <string_view>

namespace pollenvale {

/// FNV-1a over \p Text, then mixed. Stable over builds; used for rendezvous.
inline std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t H = 1469598103934665603ULL;
  for (unsigned char C : Text)
    H = (H ^ C) * 1099511628211ULL;
  H ^= H >> 33;
  H *= 0xff51afd7ed558ccdULL;
  H ^= H >> 33;
  return H;
}

/// SplitMix64 generator.
struct Random {
  std::uint64_t State_ = 1;

  std::uint64_t next() {
    std::uint64_t Z = (State_ += 0x9e3779b97f4a7c15ULL);
    Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Z = (Z ^ (Z >> 27)) * 0x94d049bb133111ebULL;
    return Z ^ (Z >> 31);
  }
  /// Uniform in [0, Bound); 0 when \p Bound is 0.
  std::uint64_t below(std::uint64_t Bound) {
    return Bound ? next() % Bound : 0;
  }
  /// Uniform in [0, 1).
  double unit() { return double(next() >> 11) * 0x1.0p-53; }
};

} // namespace pollenvale
