// The executable: it ignores the signals that must not end a daemon, then loads the program itself, a library beside
// it. It needs the C library alone, so that the kernel and the loader are soon done with it.
#include <dlfcn.h>
#include <unistd.h>

#include <cstring>

#include "cli/program.hpp"
#include "launcher/inherited_signals.hpp"

namespace {

constexpr int kCannotLoad = 1;

int failToLoad() {
  const char* reason = ::dlerror();
  [[maybe_unused]] auto written = ::write(STDERR_FILENO, reason, std::strlen(reason));
  written = ::write(STDERR_FILENO, "\n", 1);
  return kCannotLoad;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace indigohill;
  launcher::ignoreSignals();
  void* const library = ::dlopen(INDIGOHILL_LIBRARY, RTLD_LAZY);
  void* const entry = library != nullptr ? ::dlsym(library, cli::kProgramEntry) : nullptr;
  if (entry == nullptr) return failToLoad();
  return reinterpret_cast<cli::ProgramEntry*>(entry)(argc, argv, launcher::restoreInheritedSignals);
}
