#include "control/identity.hpp"

#include <fmt/format.h>

#include <charconv>

#include "base/lists.hpp"
#include "net/codec.hpp"

namespace indigohill::control {

Identity identify(const std::function<std::optional<std::string>(Slot)>& read, bool bootstrap,
                  const std::vector<settings::Endpoint>& seeds, const settings::Endpoint& controlPlane,
                  std::uint64_t seed, std::vector<DiskWrite>& writes) {
  Identity out;
  if (auto id = read(Slot::Identity)) {
    out.voterId = *id;
    const auto load = [&](Slot slot, auto decode, auto& into) {
      if (auto bytes = read(slot))
        if (auto r = decode(*bytes); !base::errorIn(r)) into = std::get<0>(std::move(r));
    };
    load(Slot::Record, net::decodeRecord, out.loaded.record);
    load(Slot::Vote, net::decodeVote, out.loaded.vote);
    load(Slot::State, net::decodeControlState, out.loaded.state);
    if (auto bytes = read(Slot::Floor)) std::from_chars(bytes->data(), bytes->data() + bytes->size(), out.floor);
    return out;
  }
  std::vector<std::string> voters;
  for (const auto& s : seeds) voters.push_back(settings::text(s));
  const auto own = settings::text(controlPlane);
  const bool first = bootstrap && base::contains(voters, own);
  out.voterId = first ? own : fmt::format("{}/{:016x}", own, seed);
  writes.push_back({0, Slot::Identity, out.voterId});
  if (first) {
    out.loaded.record = Replica::firstRecord(voters);
    writes.push_back({0, Slot::Record, net::encodeRecord(*out.loaded.record)});
  }
  return out;
}

}  // namespace indigohill::control
