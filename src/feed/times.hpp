#pragma once
#include "base/time.hpp"

namespace indigohill::feed {

// The time-outs and intervals by which updates are published and polled for.
struct Times {
  base::Millis longPollTimeout{700};       // a poll without an update is answered after this
  base::Millis retryInterval{1000};        // a poll without an answer is sent again after this, to another daemon
  base::Millis initialRetryInterval{150};  // the same until the first answer: the other side may just start too
  base::Millis resendInterval{150};  // an update that is not acknowledged is sent again after this, twice this, ...
  base::Millis observerPollInterval{350};  // a controller that follows the primary's state is answered at this pace
  // A configuration confirmed longer ago than this counts as unconfirmed; its holder is polled no further.
  base::Millis confirmationLife{1400};
  // A machine in touch applies a configuration within this (bounds.configApplyMs).
  base::Millis applyTimeout{2000};

  // The same proportions for another bound on applying a configuration.
  static constexpr Times within(base::Millis configApply);
  // The longest time after an acknowledgement at which a machine in touch still has the version before it, if the
  // controller that it polls has just lost the primary: that controller's confirmation runs out, its next tick tells
  // the machine, and the next controller is polled, both exchanges lost once.
  constexpr base::Millis worstApply(base::Millis controllerTick) const {
    return confirmationLife + controllerTick + 2 * resendInterval;
  }
};

constexpr Times Times::within(base::Millis configApply) {
  Times times;
  const auto usual = times.applyTimeout;
  if (configApply >= usual) return times;
  for (auto* span : {&times.longPollTimeout, &times.retryInterval, &times.initialRetryInterval, &times.resendInterval,
                     &times.observerPollInterval, &times.confirmationLife, &times.applyTimeout})
    *span = *span * configApply.count() / usual.count();
  return times;
}

}  // namespace indigohill::feed
