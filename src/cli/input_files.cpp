#include "cli/input_files.hpp"

#include <fstream>
#include <sstream>

namespace indigohill::cli {

std::string contents(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw BadInput{path + ": cannot be read"};
  std::ostringstream all;
  all << in.rdbuf();
  return std::move(all).str();
}

std::shared_ptr<const control::Configuration> readConfiguration(const std::string& path) {
  return std::make_shared<const control::Configuration>(need(control::parseStoredConfiguration(contents(path)), path));
}

}  // namespace indigohill::cli
