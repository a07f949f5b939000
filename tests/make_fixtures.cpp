// Records the bytes of today's code under tests/fixtures, for test_formats: `make_fixtures FOLDER`. To be run again
// only when a format is changed on purpose, with the old bytes kept readable.
#include <filesystem>
#include <iostream>

#include "control/replica.hpp"
#include "format_samples.hpp"
#include "store/store.hpp"

using namespace indigohill;

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: make_fixtures FOLDER\n";
    return 2;
  }
  const std::filesystem::path folder(argv[1]);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const auto samples = tests::encodedSamples();
  std::ofstream out(folder / "samples.txt");
  for (const auto& [name, bytes] : samples) out << name << " " << tests::toHex(bytes) << "\n";
  out.flush();

  constexpr std::uint64_t kMapBytes = 4u << 20;
  auto opened = store::Store::open(folder / "store", kMapBytes);
  if (const auto* bad = base::errorIn(opened)) {
    std::cerr << bad->message << "\n";
    return 1;
  }
  auto& store = *std::get<0>(opened);
  using control::Slot;
  const bool kept = store.writeAndWait({{0, Slot::Identity, samples.at(tests::kIdentitySample)},
                                        {0, Slot::Record, samples.at(tests::kRecordSample)},
                                        {0, Slot::Vote, samples.at(tests::kVoteSample)},
                                        {0, Slot::Watermark, samples.at(tests::kFloorSample)},
                                        {0, Slot::State, std::string()}}) &&
                    store.writeAndWait({{0, Slot::State, samples.at(tests::kStateSample)}});
  return out && kept ? 0 : 1;
}
