/// \file
/// Partitions of the job topic and their local copies.
#pragma once

#include "ledger/ledger.hpp"

namespace pollenvale::intake {

/// Topic of the job records.
inline constexpr char JobTopic[] = "keyed.jobs";
/// Partitions of the job topic.
inline constexpr std::uint32_t JobPartitions = 16;

/// Partition that holds the jobs of \p Service.
std::uint32_t partitionOf(const ServiceName &Service);

/// Local copy of one partition of the job topic.
struct PartitionCopy {
  ledger::Tail Tail_;       ///< Read position and how current the copy is.
  ledger::Replica Replica_; ///< Records read so far.
};

} // namespace pollenvale::intake
