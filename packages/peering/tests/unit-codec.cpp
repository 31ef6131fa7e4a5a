#include "peering/peering.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::peering;

Test(codec, a_frame_survives_a_round_trip) {
  Frame F{"e1.1", "e2.2", {}};
  workers::HoldRequest Hold;
  Hold.Attempt_ = {"j", 1, "e1.1", 2};
  Hold.Selector_["pool"] = {"a", "b"};
  F.Messages_ = {
      Hold, requests::SlotRequest{"planning", 3, 9, {7, 8}, true},
      workers::LocateReply{"w", 9, 1, {{Hold.Attempt_, "w", 1, ""}}}};
  auto Back = decode(encode(F));
  cr_assert(bool(Back));
  cr_assert(Back.value().From_ == "e1.1" && Back.value().To_ == "e2.2");
  cr_assert(encode(Back.value()) == encode(F));
}

Test(codec, damaged_bytes_are_refused) {
  std::string Bytes = encode({"a.1", "b.1", {workers::TaskAck{}}});
  for (std::size_t Cut = 0; Cut < Bytes.size(); ++Cut)
    cr_assert(!decode(Bytes.substr(0, Cut)));
  cr_assert(!decode("no frame"));
}
