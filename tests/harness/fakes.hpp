/// \file
/// Fakes behind the interfaces of an entry, and checks of the calls they get.
#pragma once

#include "harness/cell.hpp"

namespace pollenvale::harness {

/// Runs \p Run on the virtual clock after \p Delay.
void runAfter(Cell &C, Milliseconds Delay, std::function<void()> Run);
/// Draws a random event: true with the given probability, 0 to 1.
bool draw(Cell &C, double Probability);
bool isCut(const Cell &C, const std::string &A, const std::string &B);
Milliseconds networkDelay(Cell &C);

void fakeWorkerCall(Cell &C, const std::string &Entry,
                    const peering::WorkerCall &Call,
                    std::function<void(peering::WorkerReply)> Done);
void fakeInstanceCall(Cell &C, const std::string &Entry,
                      const peering::InstanceCall &Call,
                      std::function<void(peering::InstanceReply)> Done);
void fakeAppend(Cell &C, const std::string &Entry,
                const eventlog::AppendCall &Call,
                std::function<void(eventlog::AppendStatus)> Done);
void fakeRead(Cell &C, const std::string &Entry, const eventlog::ReadCall &Call,
              std::function<void(eventlog::ReadReply)> Done);
void fakeVmList(Cell &C, const std::string &Entry,
                std::function<void(bool, membership::VmList)> Done);

/// Checks that an answer to a caller belongs to its call, is complete and
/// correct.
void checkAnswer(Cell &C, const Call &Done);
/// Short form of an answer for the trace.
std::string summary(const Call &Done);

} // namespace pollenvale::harness
