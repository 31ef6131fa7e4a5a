#include "commands.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

namespace pollenvale::ctl {

using nlohmann::json;

namespace {

using Arguments = std::vector<std::string>;

/// Answer of an entry.
struct Answer {
  /// HTTP status code; 0 if no entry was reached, 599 if the outcome is
  /// unknown.
  int Code_ = 0;
  std::string Text_; ///< Body as received.
  json Body_;        ///< Parsed body; a string if it is not JSON.
};

/// Prints the error in \p Reply. Returns the exit code.
int printError(const Session &S, const Answer &Reply) {
  if (Reply.Code_ == 0) {
    std::cerr << "pollenvalectl: no entry answered; check --entry\n";
    return Unreachable;
  }
  if (S.Json_) {
    std::cerr << Reply.Body_.dump() << "\n";
  } else {
    std::cerr << "pollenvalectl: " << Reply.Body_.value("error", "error")
              << ": " << Reply.Body_.value("message", Reply.Text_)
              << " (work: " << Reply.Body_.value("run", "unknown") << ")\n";
  }
  return Refused;
}

/// Sends one call. Tries the entries in order, the next one only if no byte of
/// the call was sent to the previous one.
Answer call(Session &S, const std::string &Method, const std::string &Path,
            const std::string &Body = "",
            const std::vector<std::string> &Headers = {}) {
  for (const std::string &Entry : S.Entries_) {
    http::ClientCall Request;
    Request.Method_ = Method;
    Request.Url_ = "http://" + Entry + Path;
    Request.Body_ = Body;
    Request.Headers_ = Headers;
    Request.Timeout_ = std::max(S.Timeout_, std::chrono::milliseconds(1'000));
    Request.Fresh_ = true;
    auto R = http::callAndWait(*S.Client_, std::move(Request));
    if (R.Status_ == http::ClientStatus::NotSent)
      continue;
    if (R.Status_ != http::ClientStatus::Answered)
      return {599,
              "",
              {{"error", "connection-lost"},
               {"message", R.Message_},
               {"run", "unknown"}}};
    json Doc = json::parse(R.Body_, nullptr, false);
    return {R.Code_, R.Body_, Doc.is_discarded() ? json(R.Body_) : Doc};
  }
  return {};
}

/// Prints the body of \p Reply, or its error. Returns the exit code.
int printAnswer(const Session &S, const Answer &Reply) {
  if (Reply.Code_ == 0 || Reply.Code_ >= 400)
    return printError(S, Reply);
  std::cout << (S.Json_ ? Reply.Body_.dump() : Reply.Body_.dump(2)) << "\n";
  return Success;
}

/// Reads \p File, or standard input if it is "-". Prints an error and returns
/// false if that fails.
bool readJson(const std::string &File, json &Out) {
  std::ifstream Stream;
  if (File != "-")
    Stream.open(File);
  std::istream &In = File == "-" ? std::cin : Stream;
  if (!In) {
    std::cerr << "pollenvalectl: " << File << ": can't be read\n";
    return false;
  }
  try {
    Out = json::parse(In);
    return true;
  } catch (const std::exception &E) {
    std::cerr << "pollenvalectl: " << File << ": " << E.what() << "\n";
    return false;
  }
}

/// Pads \p Text to \p Width, with at least one blank.
std::string pad(std::string Text, std::size_t Width) {
  Text.resize(std::max(Width, Text.size() + 1), ' ');
  return Text;
}

void printTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Widths.resize(std::max(Widths.size(), I + 1));
      Widths[I] = std::max(Widths[I], Row[I].size() + 2);
    }
  for (const auto &Row : Rows) {
    for (std::size_t I = 0; I < Row.size(); ++I)
      std::cout << pad(Row[I], Widths[I]);
    std::cout << "\n";
  }
}

/// A string without quotes; any other value as JSON.
std::string toText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

int status(Session &S, const Arguments &) {
  Answer Reply = call(S, "GET", "/v1/status");
  if (Reply.Code_ != 200 || S.Json_)
    return printAnswer(S, Reply);
  std::uint64_t Newest = Reply.Body_["config_version"];
  for (const json &Peer : Reply.Body_["peers"])
    Newest = std::max(Newest, Peer["config_version"].get<std::uint64_t>());
  std::vector<std::vector<std::string>> Rows = {
      {"NODE", "DC", "CONFIG", "LOG", "LAG"}};
  auto AddRow = [&](const json &Row) {
    auto Version = Row["config_version"].get<std::uint64_t>();
    Rows.push_back({Row["node"], Row["dc"], toText(Row["config_version"]),
                    toText(Row["log_next"]),
                    Version < Newest ? "behind" : "in force"});
  };
  AddRow(Reply.Body_);
  for (const json &Peer : Reply.Body_["peers"])
    AddRow(Peer);
  printTable(Rows);
  std::cout << "workers held here: " << Reply.Body_["workers_held"] << " of "
            << Reply.Body_["workers_listed"]
            << ", tasks running: " << Reply.Body_["tasks_running"]
            << ", jobs homed: " << Reply.Body_["jobs_homed"]
            << ", log: " << (Reply.Body_["log_down"] ? "down" : "up") << "\n";
  return Success;
}

/// Waits until \p Version is in force at the entry that answers and at all
/// peers that it reports.
int waitInForce(Session &S, std::uint64_t Version) {
  auto Deadline = std::chrono::steady_clock::now() + S.Timeout_;
  std::string Behind;
  while (std::chrono::steady_clock::now() < Deadline) {
    Answer Reply = call(S, "GET", "/v1/status");
    if (Reply.Code_ == 200) {
      Behind.clear();
      if (Reply.Body_["config_version"] < Version)
        Behind += " " + toText(Reply.Body_["node"]);
      for (const json &Peer : Reply.Body_["peers"])
        if (Peer["config_version"] < Version)
          Behind += " " + toText(Peer["node"]);
      if (Behind.empty()) {
        std::cout << "in force on " << Reply.Body_["peers"].size() + 1
                  << " entries\n";
        return Success;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::cerr << "pollenvalectl: not in force yet on:" << Behind << "\n";
  return Pending;
}

/// Publishes \p Doc as the successor of version \p Base and waits until it is
/// in force.
int publishDoc(Session &S, std::uint64_t Base, const json &Doc) {
  Answer Reply =
      call(S, "POST", "/v1/config", json{{"base", Base}, {"doc", Doc}}.dump());
  if (Reply.Code_ != 200)
    return printError(S, Reply);
  std::cout << "accepted as version " << Reply.Body_["version"] << "\n";
  return waitInForce(S, Reply.Body_["version"]);
}

int publish(Session &S, const Arguments &Args) {
  json Doc;
  if (!readJson(Args[1], Doc))
    return BadUsage;
  Answer Current = call(S, "GET", "/v1/config");
  if (Current.Code_ != 200)
    return printError(S, Current);
  std::uint64_t Base = Args.size() > 2
                           ? std::stoull(Args[2])
                           : Current.Body_["version"].get<std::uint64_t>();
  return publishDoc(S, Base, Doc);
}

int validate(Session &S, const Arguments &Args) {
  json Doc;
  if (!readJson(Args[1], Doc))
    return BadUsage;
  return printAnswer(
      S, call(S, "POST", "/v1/config/validate", json{{"doc", Doc}}.dump()));
}

int diff(Session &S, const Arguments &Args) {
  json Doc;
  if (!readJson(Args[1], Doc))
    return BadUsage;
  Answer Reply = call(S, "GET", "/v1/config");
  if (Reply.Code_ != 200)
    return printError(S, Reply);
  json Patch = json::diff(Reply.Body_["doc"], Doc);
  if (S.Json_) {
    std::cout << Patch.dump() << "\n";
    return Success;
  }
  for (const json &Operation : Patch)
    std::cout << toText(Operation["op"]) << " " << toText(Operation["path"])
              << (Operation.contains("value") ? " " + Operation["value"].dump()
                                              : "")
              << "\n";
  if (Patch.empty())
    std::cout << "no difference to version " << Reply.Body_["version"] << "\n";
  return Success;
}

/// Prints the section of the configuration that the command names.
int printSection(Session &S, const Arguments &Args) {
  Answer Reply = call(S, "GET", "/v1/config");
  if (Reply.Code_ != 200)
    return printError(S, Reply);
  std::cout << Reply.Body_["doc"].value(Args[0], json::object()).dump(2)
            << "\n";
  return Success;
}

int getConfig(Session &S, const Arguments &) {
  return printAnswer(S, call(S, "GET", "/v1/config"));
}

int watch(Session &S, const Arguments &) {
  auto Deadline = std::chrono::steady_clock::now() + S.Timeout_;
  json Last;
  while (std::chrono::steady_clock::now() < Deadline) {
    Answer Reply = call(S, "GET", "/v1/config");
    if (Reply.Code_ == 200 && Reply.Body_["version"] != Last) {
      Last = Reply.Body_["version"];
      std::cout << "version " << Last << " in force at the asked entry"
                << std::endl;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return Success;
}

int drain(Session &S, const Arguments &Args) {
  Answer Reply = call(S, "GET", "/v1/config");
  if (Reply.Code_ != 200)
    return printError(S, Reply);
  json Doc = Reply.Body_["doc"];
  bool Enable = Args.size() < 3 || Args[2] != "off";
  std::string Target = "vm:" + Args[1];
  if (Enable)
    Doc["labels"][Target]["drain"] = "true";
  else if (Doc["labels"].contains(Target))
    Doc["labels"][Target].erase("drain");
  return publishDoc(S, Reply.Body_["version"], Doc);
}

int submit(Session &S, const Arguments &Args) {
  json Doc;
  if (!readJson(Args[1], Doc))
    return BadUsage;
  return printAnswer(S, call(S, "POST", "/v1/jobs", Doc.dump()));
}

int job(Session &S, const Arguments &Args) {
  return printAnswer(S, call(S, "GET", "/v1/jobs/" + Args[1]));
}

int jobs(Session &S, const Arguments &) {
  Answer Reply = call(S, "GET", "/v1/jobs");
  if (Reply.Code_ != 200 || S.Json_)
    return printAnswer(S, Reply);
  std::vector<std::vector<std::string>> Rows = {
      {"JOB", "KIND", "NAME", "TASKS", "STATE", "HOME"}};
  for (const json &Job : Reply.Body_)
    Rows.push_back({Job["job"], Job["kind"], Job["name"], toText(Job["tasks"]),
                    Job["state"], Job["home"]});
  printTable(Rows);
  return Success;
}

int explain(Session &S, const Arguments &Args) {
  Answer Reply = call(S, "GET", "/v1/jobs/" + Args[1] + "/explain");
  if (Reply.Code_ != 200 || S.Json_)
    return printAnswer(S, Reply);
  std::cout << toText(Reply.Body_["job"]) << " is "
            << toText(Reply.Body_["state"]) << ", home "
            << toText(Reply.Body_["home"]) << " "
            << toText(Reply.Body_["reason"]) << "\n";
  std::vector<std::vector<std::string>> Rows = {
      {"TASK", "PHASE", "WORKER", "ATTEMPTS", "FAILED ON", "REFUSED BECAUSE"}};
  for (const json &Task : Reply.Body_["task_list"])
    Rows.push_back({toText(Task["task"]), Task["phase"], Task["worker"],
                    toText(Task["attempts"]), toText(Task["failed_on"]),
                    toText(Task["refused_because"])});
  printTable(Rows);
  return Success;
}

int cancel(Session &S, const Arguments &Args) {
  return printAnswer(S, call(S, "DELETE", "/v1/jobs/" + Args[1]));
}

int wait(Session &S, const Arguments &Args) {
  auto Deadline = std::chrono::steady_clock::now() + S.Timeout_;
  Answer Reply;
  while (std::chrono::steady_clock::now() < Deadline) {
    Reply = call(S, "GET", "/v1/jobs/" + Args[1]);
    if (Reply.Code_ == 404)
      return printError(S, Reply);
    std::string State =
        Reply.Code_ == 200 ? Reply.Body_.value("state", "") : "";
    if (State == "done" || State == "failed" || State == "cancelled") {
      printAnswer(S, Reply);
      return State == "done" ? Success : Refused;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  printAnswer(S, Reply);
  return Pending;
}

int workers(Session &S, const Arguments &) {
  Answer Reply = call(S, "GET", "/v1/workers");
  if (Reply.Code_ != 200 || S.Json_)
    return printAnswer(S, Reply);
  std::vector<std::vector<std::string>> Rows = {
      {"WORKER", "RACK", "DC", "FREE", "TASKS"}};
  for (const json &Worker : Reply.Body_)
    Rows.push_back({Worker["worker"], Worker["rack"], Worker["dc"],
                    Worker["free"].dump(),
                    std::to_string(Worker["tasks"].size())});
  printTable(Rows);
  return Success;
}

int request(Session &S, const Arguments &Args) {
  std::vector<std::string> Headers = {"X-Pollenvale-Deadline-Ms: " +
                                      std::to_string(S.Timeout_.count())};
  if (!S.Mode_.empty())
    Headers.push_back("X-Pollenvale-Mode: " + S.Mode_);
  if (!S.Class_.empty())
    Headers.push_back("X-Pollenvale-Class: " + S.Class_);
  return printAnswer(S, call(S, "POST", "/v1/services/" + Args[1],
                             Args.size() > 2 ? Args[2] : "{}", Headers));
}

struct Command {
  int (*Run_)(Session &, const Arguments &);
  std::size_t MinArguments_; ///< Including the name of the command.
  const char *Arguments_;
  const char *Help_;
};

const std::map<std::string, Command> &commands() {
  static const std::map<std::string, Command> Commands = {
      {"status", {status, 1, "", "entries with version and lag"}},
      {"publish",
       {publish, 2, "FILE [BASE]", "publish a configuration, wait for it"}},
      {"validate", {validate, 2, "FILE", "check a configuration"}},
      {"diff", {diff, 2, "FILE", "changes from the version in force"}},
      {"get", {getConfig, 1, "", "configuration in force"}},
      {"labels", {printSection, 1, "", "labels in force"}},
      {"selectors", {printSection, 1, "", "selectors in force"}},
      {"watch", {watch, 1, "", "print versions as they come in force"}},
      {"drain", {drain, 2, "VM [off]", "label a VM so that work leaves it"}},
      {"submit", {submit, 2, "FILE", "submit a job"}},
      {"job", {job, 2, "ID", "state of a job"}},
      {"jobs", {jobs, 1, "", "open jobs"}},
      {"wait", {wait, 2, "ID", "wait until a job ended"}},
      {"explain", {explain, 2, "ID", "why a job's tasks stand as they do"}},
      {"cancel", {cancel, 2, "ID", "cancel a job"}},
      {"workers", {workers, 1, "", "workers that the asked entry holds"}},
      {"request", {request, 2, "SERVICE [BODY]", "send a request"}}};
  return Commands;
}

} // namespace

std::string usage() {
  std::string Out;
  for (const auto &[Name, Definition] : commands())
    Out += "  " + pad(Name + " " + Definition.Arguments_, 26) +
           Definition.Help_ + "\n";
  Out += "exit codes: 0 good, 1 refused, 2 wrong usage, 3 no entry reached, "
         "4 not done in time\n";
  return Out;
}

int run(Session &S, const Arguments &Args) {
  auto It = commands().find(Args.empty() ? "" : Args[0]);
  if (It == commands().end() || Args.size() < It->second.MinArguments_) {
    std::cerr << "pollenvalectl: expected a command:\n" << usage();
    return BadUsage;
  }
  return It->second.Run_(S, Args);
}

} // namespace pollenvale::ctl
