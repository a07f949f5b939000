#pragma once

namespace indigohill::base {
class Fingerprint;
}  // namespace indigohill::base
