#include "observe/observe.hpp"

#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>

namespace pollenvale::observe {

namespace bh = boost::histogram;

namespace {

constexpr unsigned Bins = 70;
/// Range of the bins.
constexpr double MinMs = 0.1;
constexpr double MaxMs = 1'000'000;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeBins() { return bh::make_histogram(Axis(Bins, MinMs, MaxMs)); }

} // namespace

struct Histogram::Data {
  decltype(makeBins()) Bins_ = makeBins();
  double SumMs_ = 0;
  std::uint64_t Count_ = 0;
};

Histogram::Histogram() : Data_(std::make_unique<Data>()) {}
Histogram::~Histogram() = default;

void Histogram::add(Milliseconds Time) {
  double Ms = std::max(double(Time.count()), MinMs);
  Data_->Bins_(Ms);
  Data_->SumMs_ += double(Time.count());
  ++Data_->Count_;
}

double Histogram::quantileMs(double Quantile) const {
  double Rank = std::ceil(Quantile * double(Data_->Count_)), Cumulative = 0;
  for (auto &&Bin : bh::indexed(Data_->Bins_)) {
    Cumulative += *Bin;
    if (Data_->Count_ > 0 && Cumulative >= Rank)
      return Bin.bin().upper();
  }
  return 0;
}

std::string Histogram::expose(const std::string &Name) const {
  std::ostringstream Out;
  Out << "# TYPE " << Name << " histogram\n";
  double Cumulative = 0;
  for (auto &&Bin : bh::indexed(Data_->Bins_)) {
    Cumulative += *Bin;
    if (*Bin > 0)
      Out << Name << "_bucket{le=\"" << Bin.bin().upper() / 1000 << "\"} "
          << Cumulative << "\n";
  }
  Out << Name << "_bucket{le=\"+Inf\"} " << Data_->Count_ << "\n"
      << Name << "_sum " << Data_->SumMs_ / 1000 << "\n"
      << Name << "_count " << Data_->Count_ << "\n";
  return Out.str();
}

std::string expose(const Counters &C) {
  std::string Out = "# TYPE pollenvale_events_total counter\n";
  for (const auto &[Name, Value] : C)
    Out += "pollenvale_events_total{event=\"" + Name + "\"} " +
           std::to_string(Value) + "\n";
  return Out;
}

} // namespace pollenvale::observe
