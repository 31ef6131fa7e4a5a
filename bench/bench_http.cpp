/// \file
/// Processor time of the loop's client per call that is answered, on
/// connections that are used again: the client's thread alone.
#include "http/http.hpp"

#include <asio.hpp>
#include <benchmark/benchmark.h>
#include <ctime>

using namespace pollenvale;

namespace {

constexpr int InFlight = 20;

std::chrono::nanoseconds threadTime() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec);
}

std::uint16_t freePort() {
  asio::io_context Io;
  asio::ip::tcp::acceptor Any(
      Io, {asio::ip::address_v4::loopback(), std::uint16_t(0)});
  return Any.local_endpoint().port();
}

/// Calls so many peers in turn.
void call(benchmark::State &State) {
  std::uint16_t Port = freePort();
  auto Server = http::startServer(
      {"0.0.0.0", Port, 1},
      [](const http::ServerRequest &, const http::Responder &Respond) {
        Respond({200, R"({"clockMs":123456})"});
      });
  // Each loopback address is a peer of its own to the client.
  std::vector<std::string> Urls;
  for (int I = 0; I < State.range(0); ++I)
    Urls.push_back("http://127.0." + std::to_string(I / 200) + "." +
                   std::to_string(1 + I % 200) + ":" + std::to_string(Port) +
                   "/run-start");
  asio::io_context Io{1};
  auto Client = http::makeClient(Io);
  std::size_t Next = 0;
  for (auto _ : State) {
    auto Since = threadTime();
    int Open = InFlight;
    for (int I = 0; I < InFlight; ++I) {
      http::ClientCall C;
      C.Url_ = Urls[Next++ % Urls.size()];
      C.Body_ = std::string(300, 'x');
      C.Headers_ = {"X-Expected-Instance: i-0123456789"};
      Client->submit(std::move(C), [&](const http::ClientReply &) { --Open; });
    }
    while (Open > 0)
      Io.run_one();
    State.SetIterationTime(
        std::chrono::duration<double>(threadTime() - Since).count());
  }
  State.counters["us_per_call"] = benchmark::Counter(
      double(State.iterations()) * InFlight / 1e6,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  Client.reset();
  Server->stop();
}

} // namespace

BENCHMARK(call)->Arg(40)->Arg(250)->Arg(600)->UseManualTime();
BENCHMARK_MAIN();
