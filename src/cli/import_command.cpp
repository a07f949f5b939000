// `indigohill import`: a configuration made of an Envoy file.
#include <fstream>
#include <iostream>
#include <memory>

#include "cli/command.hpp"
#include "cli/input_files.hpp"
#include "import/envoy.hpp"

namespace indigohill::cli {

namespace {

constexpr int kAllCarriedOver = 0, kSomeLeftOut = 1, kBadInput = 3;

struct ImportArguments {
  std::string file, output;
  std::uint64_t revision = 1;
};

void writeDocument(const std::string& path, const std::string& document) {
  if (path.empty()) {
    std::cout << document << "\n";
    return;
  }
  std::ofstream out(path);
  out << document << "\n";
  out.flush();
  if (!out) throw BadInput{path + ": cannot be written"};
}

int runImport(const ImportArguments& arguments) {
  try {
    const auto imported = need(import::fromEnvoy(contents(arguments.file), arguments.revision), arguments.file);
    writeDocument(arguments.output, imported.document);
    for (const auto& note : imported.notes) std::cerr << arguments.file << ": " << note << "\n";
    return imported.notes.empty() ? kAllCarriedOver : kSomeLeftOut;
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: import: " << bad.what << "\n";
    return kBadInput;
  }
}

}  // namespace

Command addImportCommand(CLI::App& app) {
  const auto arguments = std::make_shared<ImportArguments>();
  auto* import = app.add_subcommand("import", "make a configuration of an Envoy file");
  import->add_option("file", arguments->file, "Envoy's static configuration (YAML)")->required();
  import->add_option("--output", arguments->output, "where to write; standard output if not given");
  import->add_option("--revision", arguments->revision, "revision of the configuration")->capture_default_str();
  import->footer("Exit status: 0 all was carried over, 1 some was not and is listed, 3 the file cannot be used.");
  return {import, [arguments] { return runImport(*arguments); }};
}

}  // namespace indigohill::cli
