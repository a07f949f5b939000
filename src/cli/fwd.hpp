#pragma once

namespace indigohill::cli {
class OperatorCalls;
struct ControllerDisk;
}  // namespace indigohill::cli
