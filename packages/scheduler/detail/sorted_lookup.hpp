/// \file
/// Lookup of many names, in ascending order, in a container sorted by name.
#pragma once

#include <string_view>

namespace pollenvale::scheduler::detail {

/// Finds names in \p Container, a set of names or a map keyed by name, in a
/// single pass. The container must outlive the lookup and stay unchanged.
template <class Container> class SortedLookup {
public:
  explicit SortedLookup(const Container &C) : It_(C.begin()), End_(C.end()) {}

  /// The element named \p Name, or null. Names must be passed in ascending
  /// order.
  const typename Container::value_type *find(std::string_view Name) {
    while (It_ != End_ && nameOf(*It_) < Name)
      ++It_;
    return It_ != End_ && nameOf(*It_) == Name ? &*It_ : nullptr;
  }

private:
  static std::string_view nameOf(std::string_view Name) { return Name; }
  template <class Key, class Value>
  static std::string_view nameOf(const std::pair<Key, Value> &Element) {
    return Element.first;
  }

  typename Container::const_iterator It_;
  typename Container::const_iterator End_;
};

} // namespace pollenvale::scheduler::detail
