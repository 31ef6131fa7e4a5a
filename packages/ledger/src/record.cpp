#include "ledger/ledger.hpp"

namespace pollenvale::ledger {

namespace {

constexpr char JobPrefix = 'j';
constexpr char CancelPrefix = 'c';
constexpr char ProgressPrefix = 'p';
constexpr char FencePrefix = 'f';
constexpr char RosterPrefix = 'r';

std::string keyOf(char Prefix, const JobId &Job) { return Prefix + Job; }

} // namespace

RecordName nameOf(const std::string &Key) {
  if (Key.size() < 2)
    return {};
  switch (Key[0]) {
  case JobPrefix:
    return {RecordKind::Job, Key.substr(1), {}};
  case CancelPrefix:
    return {RecordKind::Cancel, Key.substr(1), {}};
  case ProgressPrefix:
    return {RecordKind::Progress, Key.substr(1), {}};
  case FencePrefix:
    return {RecordKind::Fence, {}, Key.substr(1)};
  case RosterPrefix:
    return {RecordKind::Roster, {}, Key.substr(1)};
  default:
    return {};
  }
}

KeyedRecord makeJob(const JobId &Job, const AcceptedJob &Record) {
  return {keyOf(JobPrefix, Job), pack(Record)};
}

KeyedRecord makeCancel(const JobId &Job) {
  return {keyOf(CancelPrefix, Job), "1"};
}

KeyedRecord makeProgress(const JobId &Job, const workflow::Progress &Record) {
  return {keyOf(ProgressPrefix, Job), pack(Record)};
}

KeyedRecord makeRoster(const std::string &Slice, const Roster &Record) {
  return {RosterPrefix + Slice, pack(Record)};
}

KeyedRecord makeFence(const std::string &Slice, std::uint64_t Claim) {
  return {FencePrefix + Slice, std::to_string(Claim)};
}

std::vector<KeyedRecord> makeRemoval(const JobId &Job) {
  return {{keyOf(JobPrefix, Job), ""},
          {keyOf(CancelPrefix, Job), ""},
          {keyOf(ProgressPrefix, Job), ""}};
}

std::optional<AcceptedJob> parseJob(const std::string &Value) {
  auto Job = unpack<AcceptedJob>(Value);
  if (Job && !workflow::validate(Job->Spec_))
    return std::nullopt;
  return Job;
}

std::optional<workflow::Progress> parseProgress(const std::string &Value) {
  return unpack<workflow::Progress>(Value);
}

std::uint64_t parseFence(const std::string &Value) {
  return std::strtoull(Value.c_str(), nullptr, 10);
}

std::optional<Roster> parseRoster(const std::string &Value) {
  return unpack<Roster>(Value);
}

} // namespace pollenvale::ledger
