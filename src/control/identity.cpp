#include "control/identity.hpp"

#include <fmt/format.h>

#include <charconv>

#include "base/lists.hpp"
#include "net/codec.hpp"

namespace indigohill::control {

namespace {

using SlotReader = std::function<std::optional<std::string>(Slot)>;

constexpr Slot kAllSlots[] = {Slot::Identity, Slot::Record, Slot::Vote, Slot::State, Slot::Watermark};

bool isEmpty(const SlotReader& read) {
  for (const auto slot : kAllSlots)
    if (read(slot)) return false;
  return true;
}

// Decodes one slot into `into`. An empty slot, where that is allowed, means that there is none yet.
template <class T, class Decode>
bool decodeSlot(const SlotReader& read, Slot slot, Decode decode, bool mayBeEmpty, std::optional<T>& into) {
  const auto bytes = read(slot);
  if (!bytes) return false;
  if (bytes->empty()) return mayBeEmpty;
  auto decoded = decode(*bytes);
  if (base::errorIn(decoded) != nullptr) return false;
  into = std::get<0>(std::move(decoded));
  return true;
}

bool decodeWatermark(const SlotReader& read, std::uint64_t& watermark) {
  const auto text = read(Slot::Watermark);
  if (!text) return false;
  const auto* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, watermark);
  return error == std::errc{} && stop == end;
}

bool loadState(const SlotReader& read, Replica::Loaded& into) {
  std::optional<schema::ReplicatedState> state;
  if (!decodeSlot(read, Slot::State, net::decodeReplicatedState, true, state)) return false;
  if (!state) return true;
  into.state = std::move(state->control);
  into.duties = std::move(state->duties);
  return true;
}

// The identity that the disk holds, or nothing unless every slot is there and can be read.
std::optional<Identity> load(const SlotReader& read) {
  Identity out;
  const auto id = read(Slot::Identity);
  if (!id || id->empty()) return std::nullopt;
  out.voterId = *id;
  const bool whole = decodeSlot(read, Slot::Record, net::decodeRecord, true, out.loaded.record) &&
                     decodeSlot(read, Slot::Vote, net::decodeVote, false, out.loaded.vote) &&
                     loadState(read, out.loaded) && decodeWatermark(read, out.watermark);
  if (!whole) return std::nullopt;
  return out;
}

}  // namespace

Identity identify(const SlotReader& read, bool bootstrap, const std::vector<settings::Endpoint>& seeds,
                  const settings::Endpoint& controlPlane, std::uint64_t seed, std::vector<DiskWrite>& writes) {
  if (auto kept = load(read)) return *std::move(kept);
  std::vector<std::string> voters;
  voters.reserve(seeds.size());
  for (const auto& address : seeds) voters.push_back(settings::text(address));
  const auto own = settings::text(controlPlane);
  const bool founder = bootstrap && isEmpty(read) && base::contains(voters, own);
  Identity out;
  out.voterId = founder ? own : fmt::format("{}/{:016x}", own, seed);
  if (founder) out.loaded.record = Replica::firstRecord(voters);
  out.loaded.vote = schema::Vote{};
  writes.push_back({0, Slot::Identity, out.voterId});
  writes.push_back({0, Slot::Record, founder ? net::encodeRecord(*out.loaded.record) : std::string()});
  writes.push_back({0, Slot::Vote, net::encodeVote(*out.loaded.vote)});
  writes.push_back({0, Slot::State, std::string()});
  writes.push_back({0, Slot::Watermark, std::to_string(out.watermark)});
  return out;
}

}  // namespace indigohill::control
