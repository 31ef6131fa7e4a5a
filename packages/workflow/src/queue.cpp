#include "workflow/workflow.hpp"

#include <algorithm>

namespace pollenvale::workflow {

const Queue *findQueue(const Catalog &C, std::string_view Host,
                       std::string_view Path) {
  const Queue *Best = nullptr;
  for (const Queue &Q : C.Queues_)
    if (Q.Host_ == Host && Path.starts_with(Q.PathPrefix_) &&
        (!Best || Q.PathPrefix_.size() > Best->PathPrefix_.size()))
      Best = &Q;
  return Best;
}

const Queue *findQueue(const Catalog &C, std::string_view Name) {
  for (const Queue &Q : C.Queues_)
    if (Q.Name_ == Name)
      return &Q;
  return nullptr;
}

bool hasService(const Catalog &C, std::string_view Name) {
  return std::any_of(C.Services_.begin(), C.Services_.end(),
                     [&](const Service &S) { return S.Name_ == Name; });
}

} // namespace pollenvale::workflow
