#include "http/detail/transfer.hpp"

#include <strings.h>

namespace pollenvale::http::detail {

namespace {

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *User) {
  auto *T = static_cast<Transfer *>(User);
  T->Reply_.Body_.append(Data, Size * Count);
  return Size * Count;
}

std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                     void *User) {
  static const std::string Name = "x-pollenvale-echo:";
  std::size_t Length = Size * Count;
  if (Length <= Name.size() ||
      strncasecmp(Data, Name.c_str(), Name.size()) != 0)
    return Length;
  std::string Line(Data, Length);
  auto Begin = Line.find_first_not_of(' ', Name.size());
  auto Last = Line.find_last_not_of("\r\n ");
  if (Begin != std::string::npos && Last >= Begin)
    static_cast<Transfer *>(User)->Reply_.Echo_ =
        Line.substr(Begin, Last - Begin + 1);
  return Length;
}

/// Aborts the second attempt of a request. libcurl repeats a request when a
/// reused connection breaks before the first byte of the answer; the outcome of
/// the repetition would hide that the first attempt may have been executed.
int onAttempt(void *User, char *, char *, int, int) {
  bool Repeated = static_cast<Transfer *>(User)->Attempts_++ > 0;
  return Repeated ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

ClientStatus classify(const Transfer &T, CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return ClientStatus::Answered;
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_COULDNT_CONNECT:
  case CURLE_URL_MALFORMAT:
    return isSent(T) ? ClientStatus::Lost : ClientStatus::NotSent;
  case CURLE_PARTIAL_FILE:
    return ClientStatus::Truncated;
  case CURLE_OPERATION_TIMEDOUT:
    return isSent(T) ? ClientStatus::Timeout : ClientStatus::NotSent;
  default:
    return ClientStatus::Lost;
  }
}

} // namespace

void initializeCurl() {
  static const CURLcode Init = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)Init;
}

void setOptions(Transfer &T) {
  CURL *Easy = T.Easy_;
  const ClientCall &Call = T.Call_;
  curl_easy_setopt(Easy, CURLOPT_URL, Call.Url_.c_str());
  if (Call.Method_ != "GET") {
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.Method_.c_str());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Call.Body_.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     curl_off_t(Call.Body_.size()));
    T.Headers_ =
        curl_slist_append(T.Headers_, "Content-Type: application/json");
    T.Headers_ = curl_slist_append(T.Headers_, "Expect:");
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onAttempt);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &T);
  }
  for (const std::string &H : Call.Headers_)
    T.Headers_ = curl_slist_append(T.Headers_, H.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, T.Headers_);
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, Call.Fresh_ ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Call.Fresh_ ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &T);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &T);
}

void setLibraryTimeouts(Transfer &T) {
  const ClientCall &Call = T.Call_;
  curl_easy_setopt(T.Easy_, CURLOPT_TIMEOUT_MS, long(Call.Timeout_.count()));
  if (Call.ConnectTimeout_.count() > 0)
    curl_easy_setopt(T.Easy_, CURLOPT_CONNECTTIMEOUT_MS,
                     long(Call.ConnectTimeout_.count()));
}

bool isSent(const Transfer &T) {
  // libcurl reports no connect time for a reused connection; only the bytes
  // written show whether the request may have arrived.
  long Written = 0;
  curl_easy_getinfo(T.Easy_, CURLINFO_REQUEST_SIZE, &Written);
  return Written > 0;
}

void fillReply(Transfer &T, CURLcode Code) {
  long Status = 0;
  curl_easy_getinfo(T.Easy_, CURLINFO_RESPONSE_CODE, &Status);
  T.Reply_.Status_ = classify(T, Code);
  T.Reply_.Code_ = int(Status);
  long Connections = 0;
  curl_easy_getinfo(T.Easy_, CURLINFO_NUM_CONNECTS, &Connections);
  T.Reply_.Connections_ = unsigned(Connections);
  if (Code != CURLE_OK)
    T.Reply_.Message_ = curl_easy_strerror(Code);
}

} // namespace pollenvale::http::detail
