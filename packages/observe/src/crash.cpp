/// The line that a process writes when a signal ends it. Whatever runs within
/// the signal handler is async-signal-safe: it neither allocates nor locks.
#include "observe/observe.hpp"

#include <array>
#include <csignal>
#include <cstring>
#include <execinfo.h>
#include <link.h>
#include <unistd.h>

namespace pollenvale::observe {

namespace {

constexpr std::array FatalSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr int MaxFrames = 24;
/// The stack of the handler, as the thread's own may be exhausted.
constexpr std::size_t HandlerStackBytes = 64 * 1'024;
constexpr std::size_t MaxNodeName = 64;

struct CrashState {
  int File_ = STDOUT_FILENO;
  std::array<char, MaxNodeName> Node_{};
  /// Where the program is loaded; frames are given relative to it.
  std::uintptr_t Base_ = 0;
  std::array<char, HandlerStackBytes> Stack_{};
};

CrashState &crashState() {
  static CrashState S;
  return S;
}

/// A line of limited length that is composed without allocations.
class FixedLine {
public:
  void add(const char *Text) {
    for (; *Text && Size_ < Text_.size(); ++Text)
      Text_[Size_++] = *Text;
  }
  void addNumber(std::uintptr_t Value, unsigned Radix) {
    constexpr std::size_t MaxDigits = 24;
    std::array<char, MaxDigits> Digits{};
    std::size_t First = Digits.size() - 1;
    do {
      Digits[--First] = "0123456789abcdef"[Value % Radix];
      Value /= Radix;
    } while (Value > 0);
    add(&Digits[First]);
  }
  void addAddress(std::uintptr_t Value) {
    constexpr unsigned Hex = 16;
    add("\"0x");
    addNumber(Value, Hex);
    add("\"");
  }
  void writeTo(int File) const {
    // There is nobody left to tell that the line could not be written.
    [[maybe_unused]] auto Written = ::write(File, Text_.data(), Size_);
  }

private:
  std::array<char, 2'048> Text_{};
  std::size_t Size_ = 0;
};

void addFrames(FixedLine &Line) {
  std::array<void *, MaxFrames> Frames{};
  int Count = ::backtrace(Frames.data(), MaxFrames);
  Line.add(",\"frames\":[");
  for (int I = 0; I < Count; ++I) {
    Line.add(I > 0 ? "," : "");
    Line.addAddress(reinterpret_cast<std::uintptr_t>(Frames[I]) -
                    crashState().Base_);
  }
  Line.add("]");
}

void onFatalSignal(int Signal, siginfo_t *Info, void *) {
  constexpr unsigned Decimal = 10;
  FixedLine Line;
  Line.add("{\"event\":\"crashed\",\"level\":\"error\",\"node\":\"");
  Line.add(crashState().Node_.data());
  Line.add("\",\"signal\":");
  Line.addNumber(std::uintptr_t(Signal), Decimal);
  Line.add(",\"address\":");
  Line.addAddress(reinterpret_cast<std::uintptr_t>(Info->si_addr));
  addFrames(Line);
  Line.add("}\n");
  Line.writeTo(crashState().File_);
  // The handler is used once: the default action now ends the process.
  ::raise(Signal);
}

/// Address at which the program itself, the first object, is loaded.
std::uintptr_t findBase() {
  std::uintptr_t Base = 0;
  ::dl_iterate_phdr(
      [](dl_phdr_info *Info, std::size_t, void *Out) {
        *static_cast<std::uintptr_t *>(Out) = Info->dlpi_addr;
        return 1;
      },
      &Base);
  return Base;
}

} // namespace

void reportCrashes(const std::string &Node, int File) {
  CrashState &S = crashState();
  S.File_ = File;
  S.Base_ = findBase();
  S.Node_ = {};
  std::strncpy(S.Node_.data(), Node.c_str(), S.Node_.size() - 1);
  // The first call loads a library, which a signal handler must not do.
  void *Frame = nullptr;
  ::backtrace(&Frame, 1);
  stack_t Stack{};
  Stack.ss_sp = S.Stack_.data();
  Stack.ss_size = S.Stack_.size();
  ::sigaltstack(&Stack, nullptr);
  struct sigaction Action {};
  Action.sa_sigaction = onFatalSignal;
  Action.sa_flags = SA_SIGINFO | SA_ONSTACK | int(SA_RESETHAND);
  for (int Signal : FatalSignals) {
    struct sigaction Present {};
    ::sigaction(Signal, nullptr, &Present);
    if (Present.sa_handler == SIG_DFL)
      ::sigaction(Signal, &Action, nullptr);
  }
}

} // namespace pollenvale::observe
