#include "fleet/configuration.hpp"

#include "observe/observe.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

using observe::Level;

bool applyRecord(Configuration &Config, const ledger::KeyedRecord &R,
                 Counters &Counts) {
  if (R.Key_ != platform::ConfigKey || R.Value_.empty())
    return false;
  auto Parsed = platform::parseCatalog(R.Value_);
  if (!Parsed) {
    count(Counts, "config-unreadable");
    observe::log(Level::Error, "config-unreadable",
                 {{"message", Parsed.error().Message_}});
    return false;
  }
  if (Config.Known_ && Parsed.value().Version_ <= Config.Catalog_.Version_)
    return false;
  Config = {std::move(Parsed.value()), true};
  observe::log(Level::Info, "config-in-force",
               {{"version", Config.Catalog_.Version_},
                {"queues", Config.Catalog_.Queues_.size()}});
  return true;
}

} // namespace pollenvale::fleet
