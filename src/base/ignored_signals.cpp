#include "base/ignored_signals.hpp"

namespace indigohill::base {

IgnoredSignals::IgnoredSignals() {
  struct sigaction ignore {};
  ignore.sa_handler = SIG_IGN;
  for (std::size_t i = 0; i < kNumbers.size(); ++i) ::sigaction(kNumbers.at(i), &ignore, &former_.at(i));
}

void IgnoredSignals::restore() const {
  for (std::size_t i = 0; i < kNumbers.size(); ++i) ::sigaction(kNumbers.at(i), &former_.at(i), nullptr);
}

}  // namespace indigohill::base
