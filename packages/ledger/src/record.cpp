#include "ledger/ledger.hpp"

#include <charconv>

namespace pollenvale::ledger {

namespace {

constexpr char JobPrefix = 'j';
constexpr char CancelPrefix = 'c';
constexpr char ProgressPrefix = 'p';
constexpr char OccurrencePrefix = 'o';
constexpr char FencePrefix = 'f';
constexpr char RosterPrefix = 'r';
/// Sorts before JobPrefix: a load must read closed queues before the jobs.
constexpr char ClosedQueuePrefix = 'Q';
static_assert(ClosedQueuePrefix < JobPrefix);

std::string keyOf(char Prefix, const JobId &Job) { return Prefix + Job; }

std::string occurrenceKey(const JobId &Job, std::uint32_t Occurrence) {
  return keyOf(OccurrencePrefix, Job) + "." + std::to_string(Occurrence);
}

/// Name of an occurrence's record from its key without the prefix.
RecordName occurrenceName(const std::string &Name) {
  std::size_t Dot = Name.rfind('.');
  if (Dot == std::string::npos || Dot == 0)
    return {};
  std::uint32_t Number = 0;
  const char *End = Name.data() + Name.size();
  auto Parsed = std::from_chars(Name.data() + Dot + 1, End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return {};
  return {RecordKind::Occurrence, Name.substr(0, Dot), {}, Number};
}

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
  case OccurrencePrefix:
    return occurrenceName(Key.substr(1));
  case FencePrefix:
    return {RecordKind::Fence, {}, Key.substr(1)};
  case RosterPrefix:
    return {RecordKind::Roster, {}, Key.substr(1)};
  case ClosedQueuePrefix:
    return {RecordKind::ClosedQueue, {}, {}, 0, Key.substr(1)};
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

KeyedRecord makeOccurrence(const JobId &Job,
                           const workflow::OccurrenceProgress &Record) {
  return {occurrenceKey(Job, Record.Number_), pack(Record)};
}

KeyedRecord makeOccurrenceRemoval(const JobId &Job, std::uint32_t Occurrence) {
  return {occurrenceKey(Job, Occurrence), ""};
}

KeyedRecord makeRoster(const std::string &Slice, const Roster &Record) {
  return {RosterPrefix + Slice, pack(Record)};
}

KeyedRecord makeFence(const std::string &Slice, std::uint64_t Claim) {
  return {FencePrefix + Slice, std::to_string(Claim)};
}

KeyedRecord makeClosedQueue(const std::string &Queue, std::uint64_t Version) {
  return {ClosedQueuePrefix + Queue, std::to_string(Version)};
}

std::vector<KeyedRecord> makeRemoval(const JobId &Job) {
  return {{keyOf(JobPrefix, Job), ""},
          {keyOf(CancelPrefix, Job), ""},
          {keyOf(ProgressPrefix, Job), ""}};
}

std::vector<KeyedRecord> makeSliceRemoval(const std::string &Slice) {
  return {{RosterPrefix + Slice, ""}, {FencePrefix + Slice, ""}};
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

std::optional<workflow::OccurrenceProgress>
parseOccurrence(const std::string &Value) {
  return unpack<workflow::OccurrenceProgress>(Value);
}

std::uint64_t parseFence(const std::string &Value) {
  return std::strtoull(Value.c_str(), nullptr, 10);
}

std::uint64_t parseClosedQueue(const std::string &Value) {
  return std::strtoull(Value.c_str(), nullptr, 10);
}

std::optional<Roster> parseRoster(const std::string &Value) {
  return unpack<Roster>(Value);
}

} // namespace pollenvale::ledger
