#pragma once

namespace indigohill::cli {
class Cohort;
}  // namespace indigohill::cli
