/// \file
/// Finding many names, in their order, in a container that is sorted by them.
#pragma once

#include <string_view>

namespace pollenvale::scheduler::detail {

/// Walks \p Rows, a set of names or a map by names, once for all names.
template <class Rows> class SortedLookup {
public:
  explicit SortedLookup(const Rows &R) : It_(R.begin()), End_(R.end()) {}

  /// The row of \p Name, null if there is none. No name may be less than the
  /// one before.
  const typename Rows::value_type *find(std::string_view Name) {
    while (It_ != End_ && nameOf(*It_) < Name)
      ++It_;
    return It_ != End_ && nameOf(*It_) == Name ? &*It_ : nullptr;
  }

private:
  static std::string_view nameOf(std::string_view Name) { return Name; }
  template <class Key, class Value>
  static std::string_view nameOf(const std::pair<Key, Value> &Row) {
    return Row.first;
  }

  typename Rows::const_iterator It_;
  typename Rows::const_iterator End_;
};

} // namespace pollenvale::scheduler::detail
