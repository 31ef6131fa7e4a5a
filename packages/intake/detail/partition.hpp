/// \file
/// Partitions of the job topic and their local copies.
#pragma once

#include "ledger/ledger.hpp"

namespace pollenvale::intake {

/// Topic of the job records.
inline constexpr char JobTopic[] = "keyed.jobs";
/// Largest number of partitions over which services are spread. Jobs are looked
/// up where they were stored, so a change would hide the jobs of a running
/// fleet.
inline constexpr std::uint32_t MaxJobPartitions = 16;

/// Partition that holds the jobs of \p Service. \p TopicPartitions: number of
/// partitions of the job topic, at least 1.
std::uint32_t partitionOf(const ServiceName &Service,
                          std::uint32_t TopicPartitions);

/// Local copy of one partition of the job topic.
struct PartitionCopy {
  ledger::Tail Tail_;       ///< Read position and how current the copy is.
  ledger::Replica Replica_; ///< Records read so far.
};

} // namespace pollenvale::intake
