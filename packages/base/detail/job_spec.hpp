/// \file
/// What a caller or the configuration asks to run.
#pragma once

#include "base/detail/error.hpp"
#include "base/detail/resources.hpp"
#include "base/detail/selector.hpp"
#include "base/detail/time.hpp"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace pollenvale {

enum class JobKind { Service, Batch, Gang };

struct JobSpec {
  std::string Name_;
  JobKind Kind_ = JobKind::Batch;
  std::string Team_;
  /// Work that must be single over all callers carries the same key.
  std::string Key_;
  std::uint32_t Tasks_ = 1;
  Resources Size_; ///< Declared size of one task.
  Selector Selector_;
  Milliseconds RunTime_{0}; ///< Declared run time of one task; 0 is endless.
  bool Urgent_ = false;
  std::uint32_t Slots_ = 0; ///< Requests a service task serves at a time.
};

/// Largest number of tasks of one job.
inline constexpr std::uint32_t MaxTasksPerJob = 10'000;

/// Checks and converts a caller's job. Errors: BadSpec, with the field's name.
Result<JobSpec> parseJobSpec(const nlohmann::json &Doc);
nlohmann::json toJson(const JobSpec &Spec);

std::string_view toString(JobKind Kind);

/// Reads {"cpu", "memory", "accelerators"}; \p Place names the object in
/// messages. Errors: BadSpec on a missing, negative or non-integer value.
Result<Resources> parseResources(const nlohmann::json &Doc,
                                 const std::string &Place);
nlohmann::json toJson(const Resources &R);

/// Reads {"key": "value" | ["value", ...]}. Errors: BadSpec.
Result<Selector> parseSelector(const nlohmann::json &Doc,
                               const std::string &Place);
nlohmann::json toJson(const Selector &S);

} // namespace pollenvale
