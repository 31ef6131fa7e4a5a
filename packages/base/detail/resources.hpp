/// \file
/// Resource vectors of workers and tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>

namespace pollenvale {

/// Processors in thousandths of a core, memory in MB, whole accelerators.
struct Resources {
  std::int64_t Cpu_ = 0;
  std::int64_t Memory_ = 0;
  std::int64_t Accelerators_ = 0;

  Resources &operator+=(const Resources &O) {
    Cpu_ += O.Cpu_;
    Memory_ += O.Memory_;
    Accelerators_ += O.Accelerators_;
    return *this;
  }
  Resources &operator-=(const Resources &O) {
    Cpu_ -= O.Cpu_;
    Memory_ -= O.Memory_;
    Accelerators_ -= O.Accelerators_;
    return *this;
  }
  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }
  friend Resources operator*(const Resources &A, std::int64_t Times) {
    return {A.Cpu_ * Times, A.Memory_ * Times, A.Accelerators_ * Times};
  }
  bool operator==(const Resources &O) const = default;
  MSGPACK_DEFINE(Cpu_, Memory_, Accelerators_)
};

/// True when \p Need is within \p Free in every dimension.
inline bool fits(const Resources &Need, const Resources &Free) {
  return Need.Cpu_ <= Free.Cpu_ && Need.Memory_ <= Free.Memory_ &&
         Need.Accelerators_ <= Free.Accelerators_;
}

/// The larger value in each dimension.
inline Resources largest(const Resources &A, const Resources &B) {
  return {std::max(A.Cpu_, B.Cpu_), std::max(A.Memory_, B.Memory_),
          std::max(A.Accelerators_, B.Accelerators_)};
}

/// Largest share of \p Used in \p Total over the three dimensions, 0 to 1.
inline double dominantShare(const Resources &Used, const Resources &Total) {
  auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? double(Part) / double(Whole) : 0.0;
  };
  return std::max({Share(Used.Cpu_, Total.Cpu_),
                   Share(Used.Memory_, Total.Memory_),
                   Share(Used.Accelerators_, Total.Accelerators_)});
}

} // namespace pollenvale
