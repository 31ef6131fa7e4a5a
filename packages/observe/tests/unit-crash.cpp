/// The line that a process writes when a signal ends it.
#include "observe/observe.hpp"

#include <array>
#include <criterion/criterion.h>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace pollenvale;

namespace {

struct Ended {
  int Signal_ = 0;     ///< That ended the process; 0 if it exited.
  std::string Output_; ///< Of reportCrashes().
};

/// Runs \p Crash in a process of its own that reports crashes.
template <class Function> Ended runToItsEnd(Function Crash) {
  std::array<int, 2> Pipe{};
  cr_assert_eq(::pipe(Pipe.data()), 0);
  pid_t Child = ::fork();
  if (Child == 0) {
    observe::reportCrashes("e1", Pipe[1]);
    Crash();
    ::_exit(0);
  }
  ::close(Pipe[1]);
  Ended Out;
  std::array<char, 4'096> Buffer{};
  for (ssize_t Size = 0;
       (Size = ::read(Pipe[0], Buffer.data(), Buffer.size())) > 0;)
    Out.Output_.append(Buffer.data(), std::size_t(Size));
  ::close(Pipe[0]);
  int Status = 0;
  ::waitpid(Child, &Status, 0);
  Out.Signal_ = WIFSIGNALED(Status) ? WTERMSIG(Status) : 0;
  return Out;
}

/// Reads from \p Address, which the compiler is not to know.
void readFrom(volatile std::uintptr_t &Address) {
  [[maybe_unused]] int Value = *reinterpret_cast<volatile int *>(Address);
}

/// Uses up the stack for any \p Limit that is large.
// NOLINTNEXTLINE(misc-no-recursion)
int recurse(int Depth, int Limit) {
  if (Depth == Limit)
    return 0;
  std::array<volatile char, 1'024> Frame{};
  Frame[0] = char(Depth);
  return recurse(Depth + 1, Limit) + Frame[0];
}

} // namespace

// Guards against a process that ends by a signal and leaves no trace of why.
Test(crash, a_fault_leaves_one_line_with_its_address_and_frames) {
  volatile std::uintptr_t Unmapped = 0x40;
  Ended E = runToItsEnd([&] { readFrom(Unmapped); });
  cr_assert_eq(E.Signal_, SIGSEGV);
  cr_assert_eq(E.Output_.find('\n'), E.Output_.size() - 1, "%s",
               E.Output_.c_str());
  auto Line = nlohmann::json::parse(E.Output_);
  cr_assert_eq(Line.at("event"), "crashed");
  cr_assert_eq(Line.at("node"), "e1");
  cr_assert_eq(Line.at("signal"), SIGSEGV);
  cr_assert_eq(Line.at("address"), "0x40");
  // The handler, the signal's return, the faulting function and its callers.
  cr_assert_gt(Line.at("frames").size(), 3);
}

// Guards against a handler that needs the stack that has just run out.
Test(crash, an_exhausted_stack_is_reported) {
  Ended E = runToItsEnd([] { recurse(0, 1'000'000); });
  cr_assert_eq(E.Signal_, SIGSEGV);
  cr_assert_eq(nlohmann::json::parse(E.Output_).at("event"), "crashed");
}

// Guards against an abort, as by an uncaught exception, that is not reported.
Test(crash, an_abort_is_reported) {
  Ended E = runToItsEnd([] { std::abort(); });
  cr_assert_eq(E.Signal_, SIGABRT);
  cr_assert_eq(nlohmann::json::parse(E.Output_).at("signal"), SIGABRT);
}

Test(crash, a_process_that_exits_reports_nothing) {
  Ended E = runToItsEnd([] {});
  cr_assert_eq(E.Signal_, 0);
  cr_assert(E.Output_.empty());
}
