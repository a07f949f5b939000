// How an action of the model is told to a reader of a counterexample.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>
#include <boost/core/demangle.hpp>

#include "model/replicas_internal.hpp"
#include "net/codec.hpp"

namespace indigohill::model {

using replica_model::describe;
using replica_model::findMessage;
using replica_model::Kind;
using replica_model::nameOf;

namespace {

// "ReplicateState" for schema::ReplicateState.
template <class Message>
std::string nameOfType() {
  const auto whole = boost::core::demangle(typeid(Message).name());
  return whole.substr(whole.rfind(':') + 1);
}

// What of a message helps a reader of a trace.
std::string describeMessage(const schema::Message& message) {
  std::string out;
  std::visit(
      [&](const auto& held) {
        out = nameOfType<std::remove_cvref_t<decltype(held)>>();
        if constexpr (requires { held.slot; }) out += fmt::format(" for epoch {}", held.slot);
        if constexpr (requires { held.ballot; }) out += fmt::format(" ballot {:x}", held.ballot);
        if constexpr (requires { held.acceptedBallot; })
          if (held.acceptedBallot != 0) out += fmt::format(" has accepted {:x}", held.acceptedBallot);
        if constexpr (requires { held.install; }) out += held.install ? " (install)" : "";
        if constexpr (requires { held.record; }) out += " {" + describe(held.record) + "}";
        if constexpr (requires { held.state; })
          if constexpr (requires { held.state.document; })
            out += fmt::format(" state {}.{}", held.state.version.epoch, held.state.version.sequence);
        if constexpr (requires { held.ok; }) out += held.ok ? " ok" : " refused";
      },
      message);
  return out;
}

}  // namespace

std::string ReplicaModel::text(const State& state, const Action& action) const {
  const auto& machine = *state.machines[action.machine];
  const auto& name = machine.voterId;
  const auto message = [&](const char* verb, const std::vector<InFlight>& among) {
    const auto at = findMessage(among, action);
    return fmt::format("{} {}->{}: {}", verb, state.machines[action.from]->voterId, name,
                       at ? describeMessage(*among[*at].message) : "(none)");
  };
  const auto slot = [&] {
    constexpr std::array names{"", "record", "vote", "state", "floor", "identity"};
    return machine.pending.empty() ? "nothing" : names[static_cast<std::size_t>(machine.pending.front().slot)];
  };
  switch (action.kind) {
    case Kind::Deliver:
      return message("deliver", state.network) + (machine.replica ? "" : " (down: lost)");
    case Kind::Repeat:
      return message("deliver (and keep a duplicate)", state.network);
    case Kind::Hold:
      return message("hold back", state.network);
    case Kind::Release:
      return message("deliver late", state.held);
    case Kind::Sync:
      return fmt::format("{}: {} is on disk", name, slot());
    case Kind::DiskError:
      return fmt::format("{}: the disk refuses {}", name, slot());
    case Kind::Tick:
      return fmt::format("{}: tick", name);
    case Kind::LongTick:
      return fmt::format("{}: tick after all time-outs", name);
    case Kind::LeaseLoss:
      return fmt::format("{}: loses the lease, tick", name);
    case Kind::View:
      return fmt::format("{}: view and lease are renewed, tick", name);
    case Kind::Crash:
      return fmt::format("{}: crash, {} writes lost", name, machine.pending.size());
    case Kind::CrashAfterSync:
      return fmt::format("{}: crash, {} writes on disk", name, machine.pending.size());
    case Kind::Restart:
      return fmt::format("{}: restart", name);
    case Kind::Wipe:
      return fmt::format("{}: the disk is lost, a newcomer starts", name);
    case Kind::Cut:
      return fmt::format("{}: cut off", name);
    case Kind::Heal:
      return fmt::format("{}: connected again", name);
    case Kind::Freeze:
      return fmt::format("{}: freezes", name);
    case Kind::Thaw:
      return fmt::format("{}: thaws", name);
    case Kind::Hang:
      return fmt::format("{}: the disk hangs", name);
    case Kind::Unhang:
      return fmt::format("{}: the disk goes on", name);
    case Kind::Order:
      return fmt::format("operator sends order {} to {}", action.order, name);
    case Kind::Read:
      return fmt::format("operator reads at {}", name);
    case Kind::Transfer:
      return fmt::format("{}: hands leadership on", name);
  }
  std::abort();
}

}  // namespace indigohill::model
