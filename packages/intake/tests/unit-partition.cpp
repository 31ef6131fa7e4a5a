/// Partitions of the job topic.
#include "intake/intake.hpp"

#include <criterion/criterion.h>
#include <set>

using namespace pollenvale;
using namespace pollenvale::intake;

namespace {

constexpr std::uint32_t MostPartitions = 64;
constexpr int Services = 1'000;

ServiceName serviceName(int I) { return "service-" + std::to_string(I); }

} // namespace

// Guards against services of which no job is accepted: their jobs belonged to a
// partition that the store does not have.
Test(partition, every_service_has_a_partition_of_the_store) {
  for (std::uint32_t Partitions = 1; Partitions <= MostPartitions; ++Partitions)
    for (int I = 0; I < Services; ++I)
      cr_assert_lt(partitionOf(serviceName(I), Partitions), Partitions);
}

// Guards against services that share the appends of a few partitions.
Test(partition, services_are_spread_over_the_partitions) {
  for (std::uint32_t Partitions = 1; Partitions <= MostPartitions;
       ++Partitions) {
    std::set<std::uint32_t> Used;
    for (int I = 0; I < Services; ++I)
      Used.insert(partitionOf(serviceName(I), Partitions));
    cr_assert_eq(Used.size(), std::min(Partitions, MaxJobPartitions));
  }
}

// Guards against jobs that a new version of the program looks for in another
// partition than the one that they were stored in.
Test(partition, a_service_keeps_its_partition_in_stores_of_16_or_more) {
  for (std::uint32_t Partitions : {16u, 17u, 32u, MostPartitions}) {
    cr_assert_eq(partitionOf("planificador", Partitions), 2u);
    cr_assert_eq(partitionOf("vista-verde", Partitions), 0u);
    cr_assert_eq(partitionOf("hire-desk", Partitions), 11u);
  }
}
