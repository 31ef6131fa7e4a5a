/// \file
/// Labels and the selectors that match them.
#pragma once

#include <map>
#include <set>
#include <string>

namespace pollenvale {

using Labels = std::map<std::string, std::string>;

/// For each key the accepted values. An empty selector matches everything.
using Selector = std::map<std::string, std::set<std::string>>;

/// True when every key of \p S is present in \p L with an accepted value.
/// O(|S| log |L|).
inline bool matches(const Selector &S, const Labels &L) {
  for (const auto &[Key, Values] : S) {
    auto It = L.find(Key);
    if (It == L.end() || !Values.count(It->second))
      return false;
  }
  return true;
}

} // namespace pollenvale
