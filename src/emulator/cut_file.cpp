#include "emulator/cut_file.hpp"

#include <filesystem>
#include <fstream>

namespace indigohill::emulator {

Cuts readCutFile(const std::string& path) {
  Cuts out;
  std::ifstream in(path);
  std::string from, to;
  while (in >> from >> to) {
    const auto source = settings::parseEndpoint(from), target = settings::parseEndpoint(to);
    if (base::errorIn(source) == nullptr && base::errorIn(target) == nullptr)
      out.emplace(std::get<0>(source), std::get<0>(target));
  }
  return out;
}

void writeCutFile(const std::string& path, const Cuts& cuts) {
  const auto next = path + ".next";
  {
    std::ofstream out(next, std::ios::trunc);
    for (const auto& [from, to] : cuts) out << settings::text(from) << ' ' << settings::text(to) << '\n';
  }
  std::filesystem::rename(next, path);
}

}  // namespace indigohill::emulator
