#pragma once

namespace indigohill::hollow {
class Daemon;
class Fleet;
class HeapScope;
struct Figure;
struct Shape;
}  // namespace indigohill::hollow
