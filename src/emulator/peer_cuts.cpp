#include "emulator/peer_cuts.hpp"

#include <algorithm>
#include <utility>

namespace indigohill::emulator {

PeerCuts::PeerCuts(const Experiment& experiment, const Network& network, Records& records, std::string path)
    : experiment_(experiment), network_(network), records_(records), path_(std::move(path)) {
  tell();
}

std::size_t PeerCuts::begin(CutKind kind, std::size_t zone) {
  cuts_[next_] = {kind, zone % experiment_.zones};
  records_.cuts.push_back({base::Clock::now()});
  tell();
  return next_++;
}

void PeerCuts::end(std::size_t cut) {
  if (cuts_.erase(cut) == 0) return;
  records_.cuts.at(cut).until = base::Clock::now();
  tell();
}

void PeerCuts::endAll() {
  while (!cuts_.empty()) end(cuts_.begin()->first);
}

// Among zones. The controllers' cut is one among controllers alone.
bool PeerCuts::isCut(const InForce& cut, std::size_t from, std::size_t to) const {
  const auto next = (cut.zone + 1) % experiment_.zones;
  switch (cut.kind) {
    case CutKind::Zone:
    case CutKind::Controllers:
      return (from == cut.zone) != (to == cut.zone);
    case CutKind::OneWay:
      return from == cut.zone && to != cut.zone;
    case CutKind::Bridge:
      return (from == cut.zone && to == next) || (from == next && to == cut.zone);
  }
  return false;
}

bool PeerCuts::reaches(std::size_t zone, std::size_t other) const {
  return std::none_of(cuts_.begin(), cuts_.end(), [&](const auto& entry) {
    const auto& cut = entry.second;
    return cut.kind != CutKind::Controllers && (isCut(cut, zone, other) || isCut(cut, other, zone));
  });
}

void PeerCuts::tell() const {
  struct Daemon {
    Role role;
    std::size_t machine;
  };
  std::vector<Daemon> daemons;
  for (std::size_t machine = 0; machine < experiment_.routers; ++machine) daemons.push_back({Role::Router, machine});
  for (std::size_t machine = 0; machine < experiment_.controllers; ++machine)
    daemons.push_back({Role::Controller, machine});
  Cuts out;
  for (const auto& from : daemons)
    for (const auto& to : daemons)
      for (const auto& [number, cut] : cuts_) {
        const bool isConcerned =
            cut.kind != CutKind::Controllers || (from.role == Role::Controller && to.role == Role::Controller);
        if (isConcerned && isCut(cut, experiment_.zoneOf(from.machine), experiment_.zoneOf(to.machine)))
          out.emplace(network_.peer(from.role, from.machine), network_.peer(to.role, to.machine));
      }
  writeCutFile(path_, out);
}

}  // namespace indigohill::emulator
