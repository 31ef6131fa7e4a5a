#include "scheduler/detail/placement_pass.hpp"

#include "scheduler/detail/sorted_lookup.hpp"
#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// Minimum remaining validity of a permit when its start is sent.
constexpr Milliseconds PermitMargin{120};

std::uint32_t tasksOn(const Worker &W, const StepId &Id) {
  auto It = W.Tasks_.lower_bound(TaskId{Id, 0});
  std::uint32_t Count = 0;
  for (; It != W.Tasks_.end() && It->Step_ == Id; ++It)
    ++Count;
  return Count;
}

bool isValid(const Permit &Permit, TimePoint Now) {
  return Permit.ExpiresAt_ > Now + PermitMargin;
}

/// Resources reserved for the step \p Id, by worker.
std::map<std::string_view, Resources> ownReservations(const State &State,
                                                      const StepId &Id) {
  std::map<std::string_view, Resources> Out;
  for (const Reservation &R : State.Reservations_)
    if (R.Step_ == Id)
      Out[R.Worker_] += R.Room_;
  return Out;
}

/// Room for the step on an open worker: what is free and not reserved for
/// others. \p Own: reserved for the step itself, or null.
Resources roomFor(const OpenWorker &O, const Resources *Own) {
  Resources Room = O.Free_ - O.Reserved_;
  if (Own)
    Room += *Own;
  return Room;
}

/// Completes a candidate whose room is known.
Candidate makeCandidate(const Pass &Pass, const WaitingStep &Ready,
                        const OpenWorker &O, const Resources &Room,
                        const Permit *Permit) {
  Candidate C{O.Worker_, Room};
  if (Ready.Spec_->MaxPerWorker_ > 0)
    C.StepTasks_ = tasksOn(*O.Worker_, Ready.Id_);
  C.Allowed_ = Permit != nullptr;
  C.Permitted_ =
      !Ready.Job_->Queue_.Advice_ || (Permit && isValid(*Permit, Pass.Now_));
  return C;
}

/// Calls \p Visit with each candidate until it returns false.
template <class Visitor>
void visitCandidates(Pass &Pass, const WaitingStep &Ready, Visitor Visit) {
  auto Reservations = ownReservations(Pass.State_, Ready.Id_);
  SortedLookup Own(Reservations);
  SortedLookup Denied(Ready.Step_->Denied_);
  SortedLookup Permits(Ready.Step_->Permits_);
  for (const OpenWorker &O : Pass.Open_) {
    // Cheapest check first: most workers of a busy fleet have no room.
    if (!fits(Ready.Size_, O.Free_) || !canHost(*O.Worker_, Ready))
      continue;
    const WorkerId &Name = O.Worker_->Info_.Id_;
    const auto *OwnRow = Own.find(Name);
    Resources Room = roomFor(O, OwnRow ? &OwnRow->second : nullptr);
    if (!fits(Ready.Size_, Room) || Denied.find(Name))
      continue;
    const auto *Row = Permits.find(Name);
    if (!Visit(
            makeCandidate(Pass, Ready, O, Room, Row ? &Row->second : nullptr)))
      return;
  }
}

void addReservation(Pass &Pass, Reservation R) {
  if (OpenWorker *O = findOpen(Pass, R.Worker_))
    O->Reserved_ += R.Room_;
  Pass.State_.Reservations_.push_back(std::move(R));
}

} // namespace

Pass makePass(State &State, TimePoint Now, Outbox &Out) {
  std::erase_if(State.Reservations_,
                [&](const Reservation &R) { return Now > R.ExpiresAt_; });
  Pass Pass{State, Now, Out, {}};
  Pass.Open_.reserve(State.Workers_.size());
  for (auto &[Name, W] : State.Workers_)
    if (acceptsTasks(W, Now))
      Pass.Open_.push_back({&W, freeResources(W), {}});
  for (const Reservation &R : State.Reservations_)
    if (OpenWorker *O = findOpen(Pass, R.Worker_))
      O->Reserved_ += R.Room_;
  return Pass;
}

OpenWorker *findOpen(Pass &Pass, const WorkerId &Id) {
  auto It = std::lower_bound(Pass.Open_.begin(), Pass.Open_.end(), Id,
                             [](const OpenWorker &O, const WorkerId &Name) {
                               return O.Worker_->Info_.Id_ < Name;
                             });
  return It != Pass.Open_.end() && It->Worker_->Info_.Id_ == Id ? &*It
                                                                : nullptr;
}

void addPermit(Step &Step, const WorkerId &Id, Permit P) {
  Step.PermitsEndAt_ = std::max(Step.PermitsEndAt_, P.ExpiresAt_);
  Step.Permits_[Id] = std::move(P);
}

bool canHost(const Worker &W, const WaitingStep &Ready) {
  return W.Info_.Service_ == Ready.Job_->Queue_.Service_ &&
         fits(Ready.Size_, W.Info_.Capacity_) &&
         (Ready.Spec_->RequiredLabel_.empty() ||
          W.Info_.Labels_.count(Ready.Spec_->RequiredLabel_));
}

std::vector<Candidate> findCandidates(Pass &Pass, const WaitingStep &Ready) {
  std::vector<Candidate> Out;
  Out.reserve(Pass.Open_.size());
  visitCandidates(Pass, Ready, [&](const Candidate &C) {
    Out.push_back(C);
    return true;
  });
  return Out;
}

bool hasCandidate(Pass &Pass, const WaitingStep &Ready) {
  bool Found = false;
  visitCandidates(Pass, Ready, [&](const Candidate &) {
    Found = true;
    return false;
  });
  return Found;
}

std::vector<Candidate> findPermitted(Pass &Pass, const WaitingStep &Ready) {
  if (Ready.Step_->PermitsEndAt_ <= Pass.Now_ + PermitMargin)
    return {};
  std::vector<std::pair<const OpenWorker *, const Permit *>> Valid;
  for (const auto &[Name, Permit] : Ready.Step_->Permits_) {
    if (!isValid(Permit, Pass.Now_))
      continue;
    const OpenWorker *O = findOpen(Pass, Name);
    if (O && fits(Ready.Size_, O->Free_) && canHost(*O->Worker_, Ready) &&
        !Ready.Step_->Denied_.count(Name))
      Valid.emplace_back(O, &Permit);
  }
  if (Valid.empty())
    return {};
  std::vector<Candidate> Out;
  auto Reservations = ownReservations(Pass.State_, Ready.Id_);
  SortedLookup Own(Reservations);
  for (const auto &[O, Permit] : Valid) {
    const auto *OwnRow = Own.find(O->Worker_->Info_.Id_);
    Resources Room = roomFor(*O, OwnRow ? &OwnRow->second : nullptr);
    if (fits(Ready.Size_, Room))
      Out.push_back(makeCandidate(Pass, Ready, *O, Room, Permit));
  }
  return Out;
}

void dropReservations(Pass &Pass, const StepId &Id) {
  std::erase_if(Pass.State_.Reservations_, [&](const Reservation &R) {
    if (!(R.Step_ == Id))
      return false;
    if (OpenWorker *O = findOpen(Pass, R.Worker_))
      O->Reserved_ -= R.Room_;
    return true;
  });
}

void reserveAdvisedWorkers(Pass &Pass, const AdviceCall &Call,
                           const Resources &Size) {
  constexpr Milliseconds AnswerMargin{400};
  dropReservations(Pass, Call.Step_);
  for (const WorkerId &W : Call.Workers_)
    addReservation(
        Pass, {Call.Step_, W, Size, Pass.Now_ + Call.Expected_ + AnswerMargin});
}

namespace {

/// One in so many workers may be reserved as a whole, so that steps without
/// room leave most workers to smaller tasks.
constexpr std::size_t WorkersPerReserved = 4;

/// Workers that other steps than \p Id have reserved as a whole.
std::set<std::string_view> reservedByOthers(const State &State,
                                            const StepId &Id) {
  std::set<std::string_view> Out;
  for (const Reservation &R : State.Reservations_)
    if (R.Whole_ && !(R.Step_ == Id))
      Out.insert(R.Worker_);
  return Out;
}

/// Whether a task of the step will fit on the worker once all tasks there that
/// end by themselves have ended.
bool willFit(const State &State, const Worker &W, const Resources &Size) {
  Resources Left = W.Info_.Capacity_;
  for (const TaskId &Id : W.Tasks_) {
    const workflow::StepSpec *Spec = findSpec(State, Id.Step_);
    if (Spec && Spec->LongRunning_)
      Left -= workflow::chargedSize(*Spec);
  }
  return fits(Size, Left);
}

} // namespace

void reserveFreestWorker(Pass &Pass, const WaitingStep &Ready) {
  constexpr Milliseconds MaxHold{300};
  // Two steps with the same worker would keep each other from it.
  auto Taken = reservedByOthers(Pass.State_, Ready.Id_);
  if (!Taken.empty() &&
      (Taken.size() + 1) * WorkersPerReserved > Pass.State_.Workers_.size())
    return;
  const OpenWorker *Best = nullptr;
  std::tuple<bool, std::int64_t, std::int64_t> BestRank;
  for (const OpenWorker &O : Pass.Open_) {
    auto Rank = std::tuple(true, O.Free_.Accelerators_, O.Free_.Cpu_);
    if ((Best && Rank <= BestRank) || !canHost(*O.Worker_, Ready))
      continue;
    const WorkerId &Name = O.Worker_->Info_.Id_;
    std::get<bool>(Rank) = Ready.Step_->Permits_.count(Name) > 0;
    bool Allowed =
        !Ready.Step_->Denied_.count(Name) && !Taken.count(Name) &&
        (Ready.Spec_->MaxPerWorker_ == 0 ||
         tasksOn(*O.Worker_, Ready.Id_) < Ready.Spec_->MaxPerWorker_);
    if (Allowed && (!Best || Rank > BestRank) &&
        willFit(Pass.State_, *O.Worker_, Ready.Size_)) {
      Best = &O;
      BestRank = Rank;
    }
  }
  if (!Best)
    return;
  const WorkerInfo &Info = Best->Worker_->Info_;
  dropReservations(Pass, Ready.Id_);
  addReservation(
      Pass, {Ready.Id_, Info.Id_, Info.Capacity_, Pass.Now_ + MaxHold, true});
}

bool mayReserve(const Pass &Pass, const WaitingStep &Ready) {
  const State &State = Pass.State_;
  std::int64_t Needed = Ready.Spec_->Size_.Accelerators_;
  if (Pass.Now_ > dueAt(*Ready.Job_, *Ready.Occurrence_) || Needed == 0)
    return false;
  std::set<std::string_view> Reserved;
  for (const Reservation &R : State.Reservations_)
    if (!(R.Step_ == Ready.Id_))
      Reserved.insert(R.Worker_);
  if ((Reserved.size() + 1) * WorkersPerReserved > State.Workers_.size())
    return false;
  return std::any_of(
      State.Workers_.begin(), State.Workers_.end(), [&](const auto &Row) {
        std::int64_t Total = Row.second.Info_.Capacity_.Accelerators_;
        return Total > 0 && Needed * 2 > Total;
      });
}

} // namespace pollenvale::scheduler::detail
