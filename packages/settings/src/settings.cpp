#include "settings/settings.hpp"

#include <charconv>
#include <functional>
#include <yaml-cpp/yaml.h>

namespace pollenvale::settings {

namespace {

/// Where an error was found.
struct Location {
  const std::string &File_;
  std::string Key_;
  int Line_ = 0; ///< From 0.
};

Error makeSettingsError(const Location &At, const std::string &Expected) {
  return makeError(ErrorKind::BadSettings,
                   At.File_ + ":" + std::to_string(At.Line_ + 1) + ": " +
                       At.Key_ + ": expected " + Expected);
}

bool isAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Err] = std::from_chars(Text.data() + Colon + 1, End, Port);
  return Err == std::errc() && Stop == End && Port >= 1 && Port <= 65535;
}

/// Validates one value and stores it. Returns a description of the expected
/// value, or an empty text if the value is valid.
using Reader = std::function<std::string(const YAML::Node &, Settings &)>;

Reader readName(std::string Settings::*Member) {
  return [Member](const YAML::Node &V, Settings &S) -> std::string {
    if (!V.IsScalar() || V.Scalar().empty() ||
        V.Scalar().find_first_of(". /|@~") != std::string::npos)
      return "a name without any of '. /|@~'";
    S.*Member = V.Scalar();
    return "";
  };
}

Reader readAddress(std::string Settings::*Member) {
  return [Member](const YAML::Node &V, Settings &S) -> std::string {
    if (!V.IsScalar() || !isAddress(V.Scalar()))
      return "host:port";
    S.*Member = V.Scalar();
    return "";
  };
}

Reader readUrl(std::string Settings::*Member) {
  return [Member](const YAML::Node &V, Settings &S) -> std::string {
    if (!V.IsScalar() || V.Scalar().rfind("http://", 0) != 0)
      return "a URL that begins with http://";
    S.*Member = V.Scalar();
    return "";
  };
}

std::string readSeeds(const YAML::Node &V, Settings &S) {
  if (!V.IsSequence())
    return "a list of host:port";
  for (const YAML::Node &Item : V) {
    if (!Item.IsScalar() || !isAddress(Item.Scalar()))
      return "a list of host:port";
    S.Seeds_.push_back(Item.Scalar());
  }
  return "";
}

std::string readRetention(const YAML::Node &V, Settings &S) {
  if (!V.IsScalar() || !parseDuration(V.Scalar(), S.LogRetention_) ||
      S.LogRetention_ < Milliseconds(10'000))
    return "a duration of at least 10s, with unit ms, s, m or h";
  return "";
}

std::string readBodyLimit(const YAML::Node &V, Settings &S) {
  std::size_t Value = 0;
  if (!V.IsScalar())
    return "bytes from 1 to 4194304";
  const std::string &Text = V.Scalar();
  auto [End, Err] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Err != std::errc() || End != Text.data() + Text.size() || Value < 1 ||
      Value > (4u << 20))
    return "bytes from 1 to 4194304";
  S.BodyLimit_ = Value;
  return "";
}

std::string readLevel(const YAML::Node &V, Settings &S) {
  if (!V.IsScalar() || (V.Scalar() != "debug" && V.Scalar() != "info" &&
                        V.Scalar() != "warning" && V.Scalar() != "error"))
    return "debug, info, warning or error";
  S.LogLevel_ = V.Scalar();
  return "";
}

/// How one key of the file is read.
struct Field {
  Reader Read_;
  bool Required_;
};

const std::map<std::string, Field> &fields() {
  static const std::map<std::string, Field> Fields = {
      {"name", {readName(&Settings::Name_), true}},
      {"data_center", {readName(&Settings::DataCenter_), true}},
      {"caller_address", {readAddress(&Settings::CallerAddress_), true}},
      {"peer_address", {readAddress(&Settings::PeerAddress_), true}},
      {"log_url", {readUrl(&Settings::LogUrl_), true}},
      {"vm_list_url", {readUrl(&Settings::VmListUrl_), true}},
      {"seeds", {readSeeds, false}},
      {"log_retention", {readRetention, false}},
      {"body_limit", {readBodyLimit, false}},
      {"log_level", {readLevel, false}}};
  return Fields;
}

std::string knownKeys() {
  std::string Out;
  for (const auto &[Key, F] : fields())
    Out += (Out.empty() ? "" : ", ") + Key;
  return Out;
}

} // namespace

bool parseDuration(const std::string &Text, Milliseconds &Out) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Err] = std::from_chars(Text.data(), End, Value);
  std::string Unit(Stop, End);
  if (Err != std::errc() || Value < 0 || Value > 1'000'000'000)
    return false;
  std::int64_t Factor = Unit == "ms"  ? 1
                        : Unit == "s" ? 1'000
                        : Unit == "m" ? 60'000
                        : Unit == "h" ? 3'600'000
                                      : 0;
  Out = Milliseconds(Value * Factor);
  return Factor != 0;
}

Result<Settings> load(const std::string &File) {
  YAML::Node Doc;
  try {
    Doc = YAML::LoadFile(File);
  } catch (const YAML::ParserException &E) {
    return makeSettingsError({File, "file", E.mark.line},
                             "valid YAML, found: " + E.msg);
  } catch (const std::exception &) {
    return makeSettingsError({File, "file", 0}, "a file that can be read");
  }
  if (!Doc.IsMap())
    return makeSettingsError({File, "file", 0}, "a map of settings");
  Settings Out;
  std::set<std::string> Seen;
  for (const auto &Entry : Doc) {
    Location At{File, Entry.first.Scalar(), Entry.first.Mark().line};
    auto It = fields().find(At.Key_);
    if (It == fields().end())
      return makeSettingsError(At, "one of " + knownKeys());
    if (!Seen.insert(At.Key_).second)
      return makeSettingsError(At, "each key once");
    std::string Expected = It->second.Read_(Entry.second, Out);
    if (!Expected.empty())
      return makeSettingsError(
          At, Expected + (Entry.second.IsScalar()
                              ? ", found '" + Entry.second.Scalar() + "'"
                              : ""));
  }
  for (const auto &[Key, F] : fields())
    if (F.Required_ && !Seen.count(Key))
      return makeSettingsError({File, Key, 0}, "a value; the key is missing");
  return Out;
}

} // namespace pollenvale::settings
