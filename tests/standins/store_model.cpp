#include "standins/store_model.hpp"

namespace pollenvale::standins {

namespace {

/// Number of appends of a producer whose repetition is recognized.
constexpr std::size_t MaxRecent = 5;

void encodeNumber(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Out.push_back(char(Value >> Shift & 0xff));
}

AppendResult refusal(std::string Reason, std::uint64_t Expected = 0) {
  constexpr int Conflict = 409;
  return {Conflict, 0, 0, std::move(Reason), Expected};
}

/// The answer to an append that must not be carried out; empty if it may be.
std::optional<AppendResult> checkFence(Producer &Known,
                                       const ledger::Fence &Fence) {
  if (Fence.Epoch_ < Known.Epoch_)
    return refusal("fenced");
  if (Fence.Epoch_ > Known.Epoch_) {
    Known = {Fence.Epoch_, Fence.Sequence_, {}};
    return std::nullopt;
  }
  for (const RecentAppend &Earlier : Known.Recent_)
    if (Earlier.Sequence_ == Fence.Sequence_)
      return Earlier.Result_;
  if (Fence.Sequence_ != Known.Next_)
    return refusal("seq", Known.Next_);
  return std::nullopt;
}

void remember(Producer &Known, const AppendResult &Result) {
  Known.Recent_.push_back({Known.Next_, Result});
  if (Known.Recent_.size() > MaxRecent)
    Known.Recent_.pop_front();
  ++Known.Next_;
}

} // namespace

AppendResult append(StorePartition &P, std::vector<ledger::KeyedRecord> Records,
                    std::optional<Offset> At,
                    const std::optional<ledger::Fence> &Fence) {
  constexpr int PreconditionFailed = 412;
  if (At && *At != endOf(P))
    return {PreconditionFailed, 0, endOf(P), {}};
  if (Fence)
    if (auto Answer = checkFence(P.Producers_[Fence->Producer_], *Fence))
      return *Answer;
  AppendResult Out;
  Out.First_ = endOf(P);
  for (ledger::KeyedRecord &R : Records) {
    R.Offset_ = endOf(P);
    if (R.Value_.empty())
      P.Newest_.erase(R.Key_);
    else
      P.Newest_[R.Key_] = R;
    P.Records_.push_back(std::move(R));
  }
  Out.End_ = endOf(P);
  // A request without records only sets the epoch.
  if (Fence && Out.End_ > Out.First_)
    remember(P.Producers_[Fence->Producer_], Out);
  return Out;
}

std::optional<std::vector<ledger::KeyedRecord>>
decodeRecords(const std::string &Body) {
  constexpr std::size_t LengthBytes = 4;
  std::vector<ledger::KeyedRecord> Out;
  std::size_t Position = 0;
  while (Position < Body.size()) {
    if (Position + LengthBytes > Body.size())
      return std::nullopt;
    std::size_t Length = 0;
    for (std::size_t I = 0; I < LengthBytes; ++I)
      Length = Length << 8 | std::uint8_t(Body[Position++]);
    if (Length < 2 || Position + Length > Body.size())
      return std::nullopt;
    std::size_t KeyLength = std::uint8_t(Body[Position]);
    if (KeyLength == 0 || KeyLength >= Length)
      return std::nullopt;
    Out.push_back(
        {Body.substr(Position + 1, KeyLength),
         Body.substr(Position + 1 + KeyLength, Length - 1 - KeyLength)});
    Position += Length;
  }
  return Out;
}

std::string encodeRead(const StorePartition &P, Offset From,
                       std::size_t MaxBytes) {
  std::string Out;
  encodeNumber(Out, endOf(P), 8);
  encodeNumber(Out, 0, 8);
  for (Offset I = From; I < endOf(P) && Out.size() < MaxBytes; ++I) {
    const ledger::KeyedRecord &R = P.Records_[I];
    encodeNumber(Out, 1 + R.Key_.size() + R.Value_.size(), 4);
    encodeNumber(Out, R.Key_.size(), 1);
    Out += R.Key_ + R.Value_;
  }
  return Out;
}

} // namespace pollenvale::standins
