/// Records of other writers, and damaged ones.
#include "base/base.hpp"

#include <criterion/criterion.h>
#include <vector>

using namespace pollenvale;

namespace {

using Names = std::vector<std::string>;

struct Row {
  std::string Key_;
  Names Names_;
  MSGPACK_DEFINE(Key_, Names_)
};

/// An array of \p Count elements that are missing.
std::string announce(std::uint32_t Count) {
  std::string Out("\xdd");
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(char(Count >> Shift & 0xff));
  return Out;
}

} // namespace

Test(packing, a_record_comes_back_as_it_was) {
  auto R = unpack<Row>(pack(Row{"k", {"a", "b"}}));
  cr_assert(R.has_value());
  cr_assert_eq(R->Names_.size(), 2u);
}

// Guards against a record whose depth its readers have to hold.
Test(packing, a_deeply_nested_record_is_unreadable) {
  std::string Arrays(130'000, '\x91');
  Arrays.push_back('\xc0');
  std::string Maps;
  for (int I = 0; I < 130'000; ++I)
    Maps += std::string("\x81\x01", 2);
  for (const std::string &Deep : {Arrays, Maps, Arrays + "x"}) {
    cr_assert_not(unpack<Row>(Deep));
    cr_assert_not(unpack<Names>(Deep));
    cr_assert_not(unpack<Row>("\x92\xa1k" + Deep));
    // Elements that a record of this version doesn't know are built too.
    cr_assert_not(unpack<Row>("\x93\xa1k\x90" + Deep));
  }
}

// Guards against a record that takes the memory of its readers: room for all
// elements of a list was taken before any was read.
Test(packing, a_count_beyond_the_record_takes_no_memory) {
  for (std::uint32_t Count : {1'000'000u, 40'000'000u, 0xffff'ffffu}) {
    std::string Record = announce(Count);
    cr_assert_throw(msgpack::unpack(Record.data(), Record.size(), nullptr,
                                    nullptr, unpackLimit(Record.size())),
                    msgpack::array_size_overflow);
    cr_assert_not(unpack<Names>(Record));
  }
}

Test(packing, records_cut_anywhere_are_unreadable) {
  std::string Record = pack(Row{"key", {"a", "b"}});
  for (std::size_t Length = 0; Length < Record.size(); ++Length)
    cr_assert_not(unpack<Row>(Record.substr(0, Length)));
}
