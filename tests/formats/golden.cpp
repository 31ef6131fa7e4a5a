#include "formats/golden.hpp"

#include <criterion/criterion.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace pollenvale::formats {

namespace {

/// \p Bytes on one line: all but printable characters as \xNN.
std::string escape(const std::string &Bytes) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Out;
  for (unsigned char C : Bytes) {
    if (C >= 0x20 && C < 0x7f && C != '\\') {
      Out.push_back(char(C));
      continue;
    }
    Out += "\\x";
    Out.push_back(Digits[C >> 4]);
    Out.push_back(Digits[C & 15]);
  }
  return Out;
}

} // namespace

void compareGolden(const std::string &Name,
                   const std::vector<Sample> &Samples) {
  std::string Text;
  for (const auto &[Label, Bytes] : Samples)
    Text += Label + ": " + escape(Bytes) + "\n";
  std::filesystem::path File =
      std::filesystem::path(GOLDEN_FOLDER) / (Name + ".txt");
  const char *Update = std::getenv("GOLDEN");
  if (Update && std::string(Update) == "update")
    std::ofstream(File) << Text;
  std::ifstream In(File);
  std::string Expected(std::istreambuf_iterator<char>(In), {});
  if (Text != Expected)
    std::ofstream(Name + ".actual.txt") << Text;
  cr_assert_eq(Text, Expected, "%s differs; see %s.actual.txt", File.c_str(),
               Name.c_str());
}

} // namespace pollenvale::formats
