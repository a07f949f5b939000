#pragma once

namespace indigohill::import {
struct Imported;
}  // namespace indigohill::import
