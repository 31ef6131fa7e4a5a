/// \file
/// The copy of one partition of the job topic and how current it is.
#pragma once

#include "ledger/ledger.hpp"

namespace pollenvale::intake {

/// Topic of the job records.
inline constexpr char JobTopic[] = "keyed.jobs";
/// Partitions of the job topic.
inline constexpr std::uint32_t JobPartitions = 16;

/// Partition that holds the jobs of a service.
std::uint32_t partitionOf(const ServiceName &Service);

struct PartitionCopy {
  ledger::Tail Tail_;
  ledger::Replica Replica_;
};

} // namespace pollenvale::intake
