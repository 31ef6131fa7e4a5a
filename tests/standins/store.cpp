/// \file
/// Stand-in for the platform's store. Arguments: port, number of partitions of
/// each topic. Other partitions are refused with 400. POST /admin {"mode": "up"
/// | "down" | "lose-answers" | "silent"} selects an outage; its answer counts
/// the records and the refused partitions. A silent store never answers the
/// calls of that time, nor closes their connections.
#include "standin.hpp"
#include "standins/store_model.hpp"

#include <restinio/utils/base64.hpp>

using namespace pollenvale;
using namespace pollenvale::standins;

namespace {

constexpr int NotFound = 404, BadRequest = 400;

/// A read that waits for a record.
struct PendingRead {
  std::string Partition_; ///< As in Store::Partitions_.
  Offset From_ = 0;
  std::size_t MaxBytes_ = 0;
  http::Responder Respond_;
};

struct Store {
  std::mutex Mutex_;
  std::uint64_t PartitionCount_ = 1;
  std::map<std::string, StorePartition> Partitions_; ///< By "TOPIC/NUMBER".
  std::map<std::uint64_t, PendingRead> PendingReads_;
  std::uint64_t LastPendingRead_ = 0;
  std::string Mode_ = "up";
  std::vector<http::Responder> Hung_; ///< Never answered.
  std::uint64_t RefusedPartitions_ = 0;
};

std::string textOf(const http::ServerRequest &R, const char *Key) {
  auto It = R.Query_.find(Key);
  return It == R.Query_.end() ? "" : It->second;
}

std::optional<std::uint64_t> numberOf(const http::ServerRequest &R,
                                      const char *Key) {
  std::string Text = textOf(R, Key);
  if (Text.empty())
    return std::nullopt;
  return std::stoull(Text);
}

/// Bytes without an own content type.
http::ServerReply bytesReply(std::string Body) {
  return {200, std::move(Body), "application/octet-stream"};
}

void answerPendingReads(Store &S, const std::string &Name) {
  const StorePartition &P = S.Partitions_[Name];
  std::erase_if(S.PendingReads_, [&](auto &Row) {
    const PendingRead &Read = Row.second;
    if (Read.Partition_ != Name || Read.From_ >= endOf(P))
      return false;
    Read.Respond_(bytesReply(encodeRead(P, Read.From_, Read.MaxBytes_)));
    return true;
  });
}

void onAppend(Store &S, const std::string &Name, const http::ServerRequest &R,
              http::Responder Respond) {
  auto Records = decodeRecords(R.Body_);
  if (!Records)
    return Respond(reply(BadRequest, {{"error", "truncated records"}}));
  std::optional<ledger::Fence> Fence;
  if (std::string Producer = textOf(R, "producer"); !Producer.empty())
    Fence = {Producer, numberOf(R, "epoch").value_or(0),
             numberOf(R, "sequence").value_or(0)};
  AppendResult Result = append(S.Partitions_[Name], std::move(*Records),
                               numberOf(R, "at"), Fence);
  answerPendingReads(S, Name);
  if (S.Mode_ == "lose-answers") {
    S.Hung_.push_back(std::move(Respond));
    return;
  }
  json Doc = {{"offset", Result.First_}, {"endOffset", Result.End_}};
  if (!Result.Reason_.empty())
    Doc = {{"reason", Result.Reason_}, {"expected", Result.ExpectedSequence_}};
  Respond(reply(Result.Code_, Doc));
}

void onRead(Store &S, const std::string &Name, asio::io_context &Io,
            const http::ServerRequest &R, http::Responder Respond) {
  constexpr std::uint64_t DefaultMaxKb = 1'024;
  Offset From = numberOf(R, "from").value_or(0);
  std::size_t MaxBytes = numberOf(R, "maxKb").value_or(DefaultMaxKb) * 1'024;
  Milliseconds Wait(std::int64_t(numberOf(R, "waitMs").value_or(0)));
  StorePartition &P = S.Partitions_[Name];
  if (From < endOf(P) || Wait == Milliseconds(0))
    return Respond(bytesReply(encodeRead(P, From, MaxBytes)));
  std::uint64_t Id = ++S.LastPendingRead_;
  S.PendingReads_[Id] = {Name, From, MaxBytes, std::move(Respond)};
  auto Timer = std::make_shared<asio::steady_timer>(Io, Wait);
  Timer->async_wait([&S, Id, Timer](std::error_code) {
    std::lock_guard Lock(S.Mutex_);
    auto Found = S.PendingReads_.extract(Id);
    if (Found.empty())
      return;
    const PendingRead &Read = Found.mapped();
    Read.Respond_(
        bytesReply(encodeRead(S.Partitions_[Read.Partition_], Read.From_, 0)));
  });
}

void onNewest(Store &S, const std::string &Name, const http::ServerRequest &R,
              http::Responder Respond) {
  constexpr std::size_t PageItems = 500;
  const StorePartition &P = S.Partitions_[Name];
  json Items = json::array();
  auto It = P.Newest_.upper_bound(textOf(R, "after"));
  for (; It != P.Newest_.end() && Items.size() < PageItems; ++It)
    Items.push_back(
        {{"key", It->first},
         {"value", restinio::utils::base64::encode(It->second.Value_)},
         {"offset", It->second.Offset_}});
  Respond(reply(200, {{"items", Items},
                      {"hasMore", It != P.Newest_.end()},
                      {"endOffset", endOf(P)}}));
}

void onAdmin(Store &S, const http::ServerRequest &R, http::Responder Respond) {
  json Doc = json::parse(R.Body_, nullptr, false);
  if (Doc.contains("mode")) {
    S.Mode_ = Doc["mode"];
  }
  json Records = json::object();
  for (const auto &[Name, P] : S.Partitions_)
    Records[Name] = endOf(P);
  Respond(reply(200, {{"mode", S.Mode_},
                      {"records", Records},
                      {"refused_partitions", S.RefusedPartitions_}}));
}

/// Topics with one partition, which the platform and the operator write.
bool isPlatformTopic(const std::string &Topic) {
  return Topic == "keyed.op" || Topic == "keyed.servers" ||
         Topic == "keyed.status";
}

void onCall(Store &S, asio::io_context &Io, const http::ServerRequest &R,
            http::Responder Respond) {
  if (S.Mode_ == "silent") {
    S.Hung_.push_back(std::move(Respond));
    return;
  }
  if (S.Mode_ == "down")
    return Respond(reply(503, {{"error", "outage"}}));
  std::string Topic = textOf(R, "topic");
  std::uint64_t Number = numberOf(R, "part").value_or(0);
  if (Number >= (isPlatformTopic(Topic) ? 1 : S.PartitionCount_)) {
    ++S.RefusedPartitions_;
    return Respond(reply(BadRequest, {{"error", "no such partition"}}));
  }
  std::string Name = Topic + "/" + std::to_string(Number);
  if (R.Path_ == "/log-append")
    return onAppend(S, Name, R, std::move(Respond));
  if (R.Path_ == "/log-read")
    return onRead(S, Name, Io, R, std::move(Respond));
  if (R.Path_ == "/log-newest")
    return onNewest(S, Name, R, std::move(Respond));
  Respond(reply(NotFound, {{"error", "unknown path"}}));
}

} // namespace

int main(int Count, char **Values) {
  asio::io_context Io;
  Store S;
  if (Count > 2)
    S.PartitionCount_ = std::stoull(Values[2]);
  return serve(Io, Count, Values,
               [&](http::ServerRequest R, http::Responder Respond) {
                 std::lock_guard Lock(S.Mutex_);
                 if (R.Path_ == "/admin")
                   return onAdmin(S, R, std::move(Respond));
                 onCall(S, Io, R, std::move(Respond));
               });
}
