#include "workflow/workflow.hpp"

#include <charconv>

namespace pollenvale::workflow {

std::string toString(const StepId &Id) {
  return Id.Job_ + "." + std::to_string(Id.Occurrence_) + "." +
         std::to_string(Id.Step_);
}

std::string toString(const TaskId &Id) {
  return toString(Id.Step_) + "." + std::to_string(Id.Index_);
}

namespace {

/// Removes the last dot and the number after it from \p Text and returns the
/// number. Empty, with \p Text unchanged, if there is none.
std::optional<std::uint32_t> removeLastNumber(std::string_view &Text) {
  std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  std::string_view Digits = Text.substr(Dot + 1);
  std::uint32_t Value = 0;
  auto [End, Err] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  if (Err != std::errc() || End != Digits.data() + Digits.size())
    return std::nullopt;
  Text = Text.substr(0, Dot);
  return Value;
}

} // namespace

std::optional<TaskId> parseTaskId(std::string_view Text) {
  auto Index = removeLastNumber(Text);
  if (!Index)
    return std::nullopt;
  auto Step = removeLastNumber(Text);
  if (!Step)
    return std::nullopt;
  auto Occurrence = removeLastNumber(Text);
  if (!Occurrence || Text.empty())
    return std::nullopt;
  return TaskId{{JobId(Text), *Occurrence, *Step}, *Index};
}

} // namespace pollenvale::workflow
