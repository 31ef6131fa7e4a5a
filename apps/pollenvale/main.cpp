/// \file
/// The scheduler process of one entry VM.
#include "fleet/entry.hpp"
#include "observe/observe.hpp"
#include "platform/boot.hpp"
#include "runtime.hpp"

#include <cstdio>
#include <popt.h>

using namespace pollenvale;

namespace {

enum ExitCode { Success = 0, Failed = 1, BadUsage = 2 };

struct Arguments {
  std::string SettingsFile_;
  bool CheckOnly_ = false; ///< Only validate the settings file.
  bool Version_ = false;
  bool Platform_ = false; ///< Run on the users' platform.
};

/// False, with a message on stderr, when the arguments are invalid.
bool parseArguments(int Count, const char **Values, Arguments &Out) {
  char *File = nullptr;
  int Check = 0, Version = 0, Platform = 0;
  const poptOption Options[] = {{"settings", 's', POPT_ARG_STRING, &File, 0,
                                 "settings file (YAML)", "FILE"},
                                {"check-settings", 'c', POPT_ARG_NONE, &Check,
                                 0, "check the settings file and exit",
                                 nullptr},
                                {"platform", 'p', POPT_ARG_NONE, &Platform, 0,
                                 "run on the users' platform; the settings "
                                 "file is named by POLLENVALE_BOOT",
                                 nullptr},
                                {"version", 'V', POPT_ARG_NONE, &Version, 0,
                                 "print the version", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext("pollenvale", Count, Values, Options, 0);
  int Code = poptGetNextOpt(Context);
  bool Extra = poptPeekArg(Context) != nullptr;
  if (Code < -1)
    std::fprintf(stderr, "pollenvale: %s: %s\n",
                 poptBadOption(Context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(Code));
  else if (Extra)
    std::fprintf(stderr, "pollenvale: unexpected argument '%s'\n",
                 poptPeekArg(Context));
  poptFreeContext(Context);
  Out.SettingsFile_ = File ? File : "";
  std::free(File);
  Out.CheckOnly_ = Check != 0;
  Out.Version_ = Version != 0;
  Out.Platform_ = Platform != 0;
  return Code >= -1 && !Extra;
}

/// Runs an entry on the users' platform. The settings file is the one given by
/// --settings or else by the environment variable. Returns the exit code.
int runOnPlatform(const Arguments &Args) {
  const char *File = std::getenv(platform::BootVariable);
  if (!Args.SettingsFile_.empty())
    File = Args.SettingsFile_.c_str();
  if (!File) {
    std::fprintf(stderr, "pollenvale: %s is not set\n", platform::BootVariable);
    return BadUsage;
  }
  if (!Args.CheckOnly_)
    return fleet::runEntry(File);
  auto Boot = platform::loadBoot(File);
  std::puts(Boot ? "settings are valid" : Boot.error().Message_.c_str());
  return Boot ? Success : BadUsage;
}

} // namespace

int main(int Count, char **Values) {
  Arguments Args;
  if (!parseArguments(Count, const_cast<const char **>(Values), Args))
    return BadUsage;
  if (Args.Version_) {
    std::puts("pollenvale " POLLENVALE_VERSION);
    return Success;
  }
  if (Args.Platform_)
    return runOnPlatform(Args);
  if (Args.SettingsFile_.empty()) {
    std::fputs("pollenvale: --settings FILE is required; see --help\n", stderr);
    return BadUsage;
  }
  auto Settings = settings::load(Args.SettingsFile_);
  if (!Settings) {
    std::fprintf(stderr, "%s\n", Settings.error().Message_.c_str());
    return BadUsage;
  }
  if (Args.CheckOnly_) {
    std::puts("settings are valid");
    return Success;
  }
  observe::startLogging(Settings.value().Name_, Settings.value().LogLevel_);
  try {
    runEntry(Settings.value());
  } catch (const std::exception &E) {
    observe::log(observe::Level::Error, "failed", {{"message", E.what()}});
    return Failed;
  }
}
