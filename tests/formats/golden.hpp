/// \file
/// Compares what leaves the process with a golden file, byte by byte.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace pollenvale::formats {

/// A name and the bytes that a reader of another build gets under it.
using Sample = std::pair<std::string, std::string>;

/// Fails the running test when \p Samples differ from tests/golden/NAME.txt.
/// GOLDEN=update rewrites the file.
void compareGolden(const std::string &Name, const std::vector<Sample> &Samples);

} // namespace pollenvale::formats
