#include "placement/placement.hpp"

#include <limits>

namespace pollenvale::placement {

namespace {

/// True for labels that locate a worker; they do not tell classes apart.
bool isLocationKey(const std::string &Key) {
  return Key == "vm" || Key == "rack" || Key == "dc";
}

/// Key of the class that a worker with these labels belongs to.
std::string classKey(const Labels &Labels) {
  std::string Out;
  for (const auto &[Key, Value] : Labels)
    if (!isLocationKey(Key))
      Out += Key + "=" + Value + ";";
  return Out;
}

FreeKey freeKey(const IndexedWorker &Worker) {
  return {Worker.Free_.Accelerators_, Worker.Free_.Cpu_, Worker.Name_};
}

/// Splits a selector into the part that classes match and the part on location
/// labels that single workers match.
void splitSelector(const Selector &Whole, Selector &OfClass,
                   Selector &OfLocation) {
  for (const auto &[Key, Values] : Whole)
    (isLocationKey(Key) ? OfLocation : OfClass)[Key] = Values;
}

bool isCandidate(const IndexedWorker &Worker, const Query &Query,
                 const Selector &OfLocation) {
  return Worker.Usable_ && fits(Query.Size_, Worker.Free_) &&
         !Query.Avoid_.count(Worker.Name_) &&
         matches(OfLocation, Worker.Labels_);
}

/// Share of the worker's resources left free, summed over the dimensions; lower
/// is a tighter fit. Accelerators left idle by a task that needs none outweigh
/// everything else.
double leftover(const IndexedWorker &Worker, const Query &Query) {
  Resources Rest = Worker.Free_ - Query.Size_;
  double Stranded =
      Query.Size_.Accelerators_ == 0 && Worker.Total_.Accelerators_ > 0 ? 10.0
                                                                        : 0.0;
  auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? double(Part) / double(Whole) : 0.0;
  };
  return Stranded + Share(Rest.Cpu_, Worker.Total_.Cpu_) +
         Share(Rest.Memory_, Worker.Total_.Memory_) +
         Share(Rest.Accelerators_, Worker.Total_.Accelerators_);
}

WorkerId choosePacked(const Index &Index, const Query &Query,
                      const Selector &OfClass, const Selector &OfLocation) {
  WorkerId Best;
  double BestScore = std::numeric_limits<double>::max();
  for (const auto &[Key, Class] : Index.Classes_) {
    if (!matches(OfClass, Class.Labels_))
      continue;
    std::size_t Compared = 0;
    FreeKey Smallest{Query.Size_.Accelerators_, Query.Size_.Cpu_, ""};
    for (auto It = Class.ByFree_.lower_bound(Smallest);
         It != Class.ByFree_.end() && Compared < CompareLimit; ++It) {
      const IndexedWorker &Worker = Index.Workers_.at(It->Name_);
      if (!isCandidate(Worker, Query, OfLocation))
        continue;
      ++Compared;
      double Score = leftover(Worker, Query);
      if (Score < BestScore) {
        BestScore = Score;
        Best = Worker.Name_;
      }
    }
  }
  return Best;
}

/// The count of \p Key; 0 when it is missing.
std::uint32_t countOf(const std::map<std::string, std::uint32_t> &Counts,
                      const std::string &Key) {
  auto It = Counts.find(Key);
  return It == Counts.end() ? 0 : It->second;
}

WorkerId chooseSpread(const Index &Index, const Query &Query,
                      const Selector &OfClass, const Selector &OfLocation) {
  const IndexedWorker *Best = nullptr;
  std::tuple<std::uint32_t, std::uint32_t, double> BestScore;
  for (const auto &[Key, Class] : Index.Classes_) {
    if (!matches(OfClass, Class.Labels_))
      continue;
    for (const auto &[Rack, Keys] : Class.ByRack_)
      for (auto It = Keys.rbegin(); It != Keys.rend(); ++It) {
        const IndexedWorker &Worker = Index.Workers_.at(It->Name_);
        if (!isCandidate(Worker, Query, OfLocation))
          continue;
        auto Score = std::make_tuple(countOf(Query.TasksByDc_, Worker.Dc_),
                                     countOf(Query.TasksByRack_, Rack),
                                     -leftover(Worker, Query));
        if (!Best || Score < BestScore) {
          Best = &Worker;
          BestScore = Score;
        }
        break;
      }
  }
  return Best ? Best->Name_ : WorkerId();
}

/// Counts the workers by the first reason that rules each of them out.
void countReasons(const Index &Index, const Query &Query, Choice &Out) {
  for (const auto &[Name, Worker] : Index.Workers_) {
    const char *Reason = !matches(Query.Selector_, Worker.Labels_) ? "selector"
                         : !Worker.Usable_                      ? "not-usable"
                         : Query.Avoid_.count(Name)             ? "failed-here"
                         : Query.Size_.Cpu_ > Worker.Free_.Cpu_ ? "cpu"
                         : Query.Size_.Memory_ > Worker.Free_.Memory_
                             ? "memory"
                             : "accelerators";
    ++Out.Reasons_[Reason];
  }
}

/// Removes a worker from its class, and the class once it is empty.
void eraseFromClass(Index &Index, const IndexedWorker &Worker) {
  auto It = Index.Classes_.find(classKey(Worker.Labels_));
  if (It == Index.Classes_.end())
    return;
  It->second.ByFree_.erase(freeKey(Worker));
  It->second.ByRack_[Worker.Rack_].erase(freeKey(Worker));
  if (It->second.ByFree_.empty())
    Index.Classes_.erase(It);
}

} // namespace

void upsert(Index &Index, IndexedWorker Worker) {
  remove(Index, Worker.Name_);
  WorkerClass &Class = Index.Classes_[classKey(Worker.Labels_)];
  if (Class.Labels_.empty())
    for (const auto &[Key, Value] : Worker.Labels_)
      if (!isLocationKey(Key))
        Class.Labels_[Key] = Value;
  Class.ByFree_.insert(freeKey(Worker));
  Class.ByRack_[Worker.Rack_].insert(freeKey(Worker));
  WorkerId Name = Worker.Name_;
  Index.Workers_[Name] = std::move(Worker);
}

void remove(Index &Index, const WorkerId &Name) {
  auto It = Index.Workers_.find(Name);
  if (It == Index.Workers_.end())
    return;
  eraseFromClass(Index, It->second);
  Index.Workers_.erase(It);
}

Choice choose(const Index &Index, const Query &Query) {
  Selector OfClass, OfLocation;
  splitSelector(Query.Selector_, OfClass, OfLocation);
  Choice Result;
  Result.Worker_ = Query.Spread_
                       ? chooseSpread(Index, Query, OfClass, OfLocation)
                       : choosePacked(Index, Query, OfClass, OfLocation);
  if (Result.Worker_.empty())
    countReasons(Index, Query, Result);
  return Result;
}

std::uint64_t maxRunnableTasks(const Index &Index, const Selector &Selector,
                               const Resources &Size, std::uint64_t Limit,
                               std::size_t &Matching) {
  std::uint64_t Tasks = 0;
  Matching = 0;
  for (const auto &[Name, Worker] : Index.Workers_) {
    if (!matches(Selector, Worker.Labels_))
      continue;
    ++Matching;
    if (Tasks >= Limit)
      continue;
    std::int64_t PerWorker = std::int64_t(Limit);
    if (Size.Cpu_ > 0)
      PerWorker = std::min(PerWorker, Worker.Total_.Cpu_ / Size.Cpu_);
    if (Size.Memory_ > 0)
      PerWorker = std::min(PerWorker, Worker.Total_.Memory_ / Size.Memory_);
    if (Size.Accelerators_ > 0)
      PerWorker =
          std::min(PerWorker, Worker.Total_.Accelerators_ / Size.Accelerators_);
    Tasks += std::uint64_t(PerWorker);
  }
  return std::min(Tasks, Limit);
}

} // namespace pollenvale::placement
