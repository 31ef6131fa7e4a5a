/// \file
/// Command line of pollenvalectl.
#include "commands.hpp"

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <popt.h>
#include <sstream>

using namespace pollenvale;

namespace {

/// Copies \p Text, or \p Default if it is null, and frees \p Text.
std::string takeString(char *Text, const char *Default) {
  std::string Out = Text ? Text : Default;
  std::free(Text);
  return Out;
}

} // namespace

int main(int Count, char **Values) {
  char *Entries = nullptr, *Mode = nullptr, *Class = nullptr;
  int Json = 0, Version = 0, Commands = 0;
  long TimeoutMs = 10'000;
  const poptOption Options[] = {
      {"entry", 'e', POPT_ARG_STRING, &Entries, 0,
       "entries, tried in order (default 127.0.0.1:8101)", "HOST:PORT,..."},
      {"json", 'j', POPT_ARG_NONE, &Json, 0, "JSON output", nullptr},
      {"timeout", 't', POPT_ARG_LONG, &TimeoutMs, 0, "longest wait", "MS"},
      {"mode", 'm', POPT_ARG_STRING, &Mode, 0,
       "of a request: repeatable, single or once", "MODE"},
      {"class", 'k', POPT_ARG_STRING, &Class, 0,
       "of a request: label for its run time", "CLASS"},
      {"version", 'V', POPT_ARG_NONE, &Version, 0, "print the version",
       nullptr},
      {"commands", 0, POPT_ARG_NONE, &Commands, 0,
       "list the commands and exit codes", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("pollenvalectl", Count, const_cast<const char **>(Values),
                     Options, POPT_CONTEXT_POSIXMEHARDER);
  poptSetOtherOptionHelp(Context, "[OPTIONS] COMMAND ...");
  int Code = poptGetNextOpt(Context);
  if (Code < -1) {
    std::fprintf(stderr, "pollenvalectl: %s: %s\n",
                 poptBadOption(Context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(Code));
    return ctl::BadUsage;
  }
  std::vector<std::string> Arguments;
  while (const char *Argument = poptGetArg(Context))
    Arguments.push_back(Argument);
  poptFreeContext(Context);
  if (Version || Commands) {
    std::cout << (Version ? "pollenvalectl " POLLENVALE_VERSION "\n"
                          : ctl::usage());
    return ctl::Success;
  }
  ctl::Session Session;
  std::istringstream List(takeString(Entries, "127.0.0.1:8101"));
  for (std::string Entry; std::getline(List, Entry, ',');)
    Session.Entries_.push_back(Entry);
  Session.Json_ = Json != 0;
  Session.Timeout_ = std::chrono::milliseconds(TimeoutMs);
  Session.Mode_ = takeString(Mode, "");
  Session.Class_ = takeString(Class, "");
  Session.Client_ = http::makeClient();
  return ctl::run(Session, Arguments);
}
