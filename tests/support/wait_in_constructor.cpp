// A library to be preloaded into a program: its constructor, which runs before the program's own, waits until the pipe
// that INDIGOHILL_TEST_GATE names is opened for writing and closed again.
#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>

namespace {

[[gnu::constructor]] void waitAtGate() {
  const char* path = std::getenv("INDIGOHILL_TEST_GATE");
  if (path == nullptr) return;
  const int gate = ::open(path, O_RDONLY);
  char byte = 0;
  while (::read(gate, &byte, 1) > 0) {
  }
  ::close(gate);
}

}  // namespace
