#pragma once

namespace indigohill::runners {
struct Page;
class Lister;
}  // namespace indigohill::runners
