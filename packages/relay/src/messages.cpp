#include "relay/relay.hpp"

namespace pollenvale::relay {

using namespace ledger;

namespace {

constexpr char RequestTag = 's';
constexpr char ReplyTag = 'r';
constexpr char StoredTag = 'd';

std::uint32_t toMs(Milliseconds Time) {
  return std::uint32_t(std::max<std::int64_t>(Time.count(), 0));
}

std::vector<MessageRecord> toMessageRecords(std::vector<KeyedRecord> Records) {
  std::vector<MessageRecord> Out;
  Out.reserve(Records.size());
  for (KeyedRecord &R : Records)
    Out.push_back({std::move(R.Key_), std::move(R.Value_), R.Offset_});
  return Out;
}

RequestMessage makeRequest(CallKind Kind, const Partition &P,
                           Milliseconds Timeout) {
  RequestMessage M;
  M.Kind_ = int(Kind);
  M.Topic_ = P.Topic_;
  M.Partition_ = P.Number_;
  M.TimeoutMs_ = toMs(Timeout);
  return M;
}

StoreStatus statusOf(const ReplyMessage &M) {
  bool Known = M.Status_ >= int(StoreStatus::Done) &&
               M.Status_ <= int(StoreStatus::Forgotten);
  return Known ? StoreStatus(M.Status_) : StoreStatus::Unknown;
}

} // namespace

std::vector<KeyedRecord> toRecords(std::vector<MessageRecord> Records) {
  std::vector<KeyedRecord> Out;
  Out.reserve(Records.size());
  for (MessageRecord &R : Records)
    Out.push_back({std::move(R.Key_), std::move(R.Value_), R.Offset_});
  return Out;
}

std::string encode(const RequestMessage &M) {
  return packTagged(RequestTag, M);
}
std::string encode(const ReplyMessage &M) { return packTagged(ReplyTag, M); }
std::string encode(const StoredMessage &M) { return packTagged(StoredTag, M); }

Message decode(const std::string &Bytes) {
  if (auto Request = unpackTagged<RequestMessage>(RequestTag, Bytes))
    return std::move(*Request);
  if (auto Reply = unpackTagged<ReplyMessage>(ReplyTag, Bytes))
    return std::move(*Reply);
  if (auto Stored = unpackTagged<StoredMessage>(StoredTag, Bytes))
    return std::move(*Stored);
  return {};
}

RequestMessage makeRequest(const AppendCall &Call) {
  RequestMessage M =
      makeRequest(CallKind::Append, Call.Partition_, Call.Timeout_);
  M.Records_ = toMessageRecords(Call.Records_);
  M.ExpectedEnd_ = Call.ExpectedEnd_;
  if (Call.Fence_) {
    M.Producer_ = Call.Fence_->Producer_;
    M.Epoch_ = Call.Fence_->Epoch_;
    M.Sequence_ = Call.Fence_->Sequence_;
  }
  return M;
}

RequestMessage makeRequest(const ReadCall &Call) {
  RequestMessage M =
      makeRequest(CallKind::Read, Call.Partition_, Call.Timeout_);
  M.FromOffset_ = Call.Offset_;
  M.WaitMs_ = toMs(Call.Wait_);
  return M;
}

RequestMessage makeRequest(const NewestCall &Call) {
  RequestMessage M =
      makeRequest(CallKind::Newest, Call.Partition_, Call.Timeout_);
  M.AfterKey_ = Call.AfterKey_;
  M.SilenceTimeout_ = Call.SilenceTimeout_;
  return M;
}

AppendCall appendCall(RequestMessage M) {
  AppendCall Call;
  Call.Partition_ = {M.Topic_, M.Partition_};
  Call.Records_ = toRecords(std::move(M.Records_));
  Call.ExpectedEnd_ = M.ExpectedEnd_;
  if (!M.Producer_.empty())
    Call.Fence_ = Fence{M.Producer_, M.Epoch_, M.Sequence_};
  Call.Timeout_ = Milliseconds(M.TimeoutMs_);
  return Call;
}

ReadCall readCall(const RequestMessage &M) {
  return {{M.Topic_, M.Partition_},
          M.FromOffset_,
          Milliseconds(M.WaitMs_),
          Milliseconds(M.TimeoutMs_)};
}

NewestCall newestCall(const RequestMessage &M) {
  return {{M.Topic_, M.Partition_},
          M.AfterKey_,
          Milliseconds(M.TimeoutMs_),
          M.SilenceTimeout_};
}

void copyCallFields(ReplyMessage &Reply, const RequestMessage &Request) {
  Reply.Id_ = Request.Id_;
  Reply.Kind_ = Request.Kind_;
  Reply.Topic_ = Request.Topic_;
  Reply.Partition_ = Request.Partition_;
  Reply.FromOffset_ = Request.FromOffset_;
  Reply.AfterKey_ = Request.AfterKey_;
}

bool isAnswerTo(const ReplyMessage &Reply, const RequestMessage &Request) {
  return Reply.Kind_ == Request.Kind_ && Reply.Topic_ == Request.Topic_ &&
         Reply.Partition_ == Request.Partition_ &&
         Reply.FromOffset_ == Request.FromOffset_ &&
         Reply.AfterKey_ == Request.AfterKey_;
}

ReplyMessage makeReply(CallId Id, const AppendReply &R) {
  ReplyMessage M{Id, int(R.Status_)};
  M.First_ = R.First_;
  M.End_ = R.End_;
  M.ExpectedSequence_ = R.ExpectedSequence_;
  return M;
}

ReplyMessage makeReply(CallId Id, ReadReply R) {
  ReplyMessage M{Id, int(R.Status_), toMessageRecords(std::move(R.Records_))};
  M.Next_ = R.Next_;
  M.End_ = R.End_;
  return M;
}

ReplyMessage makeReply(CallId Id, NewestReply R) {
  ReplyMessage M{Id, int(R.Status_), toMessageRecords(std::move(R.Records_))};
  M.End_ = R.End_;
  M.More_ = R.More_;
  return M;
}

AppendReply appendReply(const ReplyMessage &M) {
  return {statusOf(M), M.First_, M.End_, M.ExpectedSequence_};
}

ReadReply readReply(ReplyMessage M) {
  return {statusOf(M), toRecords(std::move(M.Records_)), M.Next_, M.End_};
}

NewestReply newestReply(ReplyMessage M) {
  return {statusOf(M), toRecords(std::move(M.Records_)), M.More_, M.End_};
}

} // namespace pollenvale::relay
