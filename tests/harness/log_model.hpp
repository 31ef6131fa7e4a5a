/// \file
/// The platform's log service: append-only, offsets from 1, limited retention.
#pragma once

#include "eventlog/eventlog.hpp"

namespace pollenvale::harness {

struct LogModel {
  std::deque<eventlog::StoredRecord> Records_;
  Offset Next_ = 1;
  std::uint64_t Appends_ = 0;
};

inline Offset earliest(const LogModel &L) {
  return L.Records_.empty() ? L.Next_ : L.Records_.front().Offset_;
}

inline Offset append(LogModel &L, std::vector<eventlog::Record> Records) {
  Offset First = L.Next_;
  ++L.Appends_;
  for (auto &R : Records)
    L.Records_.push_back({L.Next_++, std::move(R)});
  return First;
}

/// Records from \p From on, or from the earliest one when \p From is 0.
inline eventlog::ReadReply read(const LogModel &L, Offset From,
                                std::size_t Limit) {
  eventlog::ReadReply R;
  R.Ok_ = true;
  R.Earliest_ = earliest(L);
  R.End_ = L.Next_;
  R.Next_ = std::max(From, R.Earliest_);
  for (std::size_t I = R.Next_ - R.Earliest_;
       I < L.Records_.size() && R.Records_.size() < Limit; ++I) {
    R.Records_.push_back(L.Records_[I]);
    R.Next_ = L.Records_[I].Offset_ + 1;
  }
  return R;
}

/// Removes records before \p Keep.
inline void trim(LogModel &L, Offset Keep) {
  while (!L.Records_.empty() && L.Records_.front().Offset_ < Keep)
    L.Records_.pop_front();
}

} // namespace pollenvale::harness
