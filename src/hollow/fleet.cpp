#include "hollow/fleet.hpp"

#include <fmt/format.h>
#include <ctime>

#include <algorithm>
#include <numeric>

#include "hollow/heap.hpp"

namespace indigohill::hollow {

using base::Millis;

namespace {

constexpr std::size_t kSeeds = 3;  // as the settings have it: up to three
constexpr std::uint32_t kFirstIp = 0x0a000001u;
constexpr Millis kDiskSync{4};
constexpr Millis kRetransmit{200};  // a packet lost on a connection comes again after this
constexpr Millis kPlatformAnswer{5};
constexpr Millis kOrderAgain{300};
constexpr std::size_t kPacket = 1448;        // bytes of a message in one packet
constexpr std::size_t kChannelBacklog = 16;  // these two as net::Link has them
constexpr Millis kCallLimit{2000};

bool later(const auto& a, const auto& b) { return std::tie(a.at, a.order) > std::tie(b.at, b.order); }

std::string route(std::size_t tenant, std::size_t models, std::uint64_t timeoutMs) {
  return fmt::format(
      R"({{"name":"tenant-{0}","hostname":"tenant-{0}.example","pathPrefix":"/v1/","routeType":"streaming",)"
      R"("timeoutMs":{1},"targetLatencyMs":830,"priority":{2},"targetService":"model-{3}","maxAttempts":2,)"
      R"("resumable":true,"sessionAffinity":true,"tokenGapMs":70}})",
      tenant, timeoutMs, tenant % 3, tenant % models);
}

}  // namespace

std::uint64_t threadCpuNs() {
  timespec at{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<std::uint64_t>(at.tv_sec) * 1'000'000'000u + static_cast<std::uint64_t>(at.tv_nsec);
}

std::string configuration(std::uint64_t revision, std::size_t tenants, std::size_t models) {
  std::string out = fmt::format(R"({{"revision":{},"routes":[)", revision);
  for (std::size_t t = 0; t < tenants; ++t) {
    if (t > 0) out += ",";
    out += route(t, models, 12000);
  }
  out += R"(],"services":[)";
  for (std::size_t m = 0; m < models; ++m)
    out += fmt::format(R"({}{{"name":"model-{}","healthCheckPath":"/health","maxConnections":690,"warmupS":3.0,)"
                       R"("warmupPerS":18.0,"engine":{{"capacitySlots":24,"kvCacheTokens":437458}}}})",
                       m == 0 ? "" : ",", m);
  return out +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::vector<schema::RunnerEntry> runnerList(std::size_t runners, std::size_t models, std::size_t zones) {
  std::vector<schema::RunnerEntry> out;
  for (std::size_t r = 0; r < runners; ++r) {
    schema::RunnerEntry e;
    e.instanceId = fmt::format("model-{}/instance-{}", r % models, r);
    e.service = fmt::format("model-{}", r % models);
    e.zone = fmt::format("zone-{}", r % zones);
    e.ip = 0x0b000001u + static_cast<std::uint32_t>(r);
    e.port = 8000;
    e.slots = 24;
    out.push_back(std::move(e));
  }
  return out;
}

std::uint64_t Totals::sent() const { return std::accumulate(sentBytes.begin(), sentBytes.end(), std::uint64_t{0}); }
std::uint64_t Totals::received() const {
  return std::accumulate(receivedBytes.begin(), receivedBytes.end(), std::uint64_t{0});
}
std::uint64_t Totals::messages() const {
  return std::accumulate(sentMessages.begin(), sentMessages.end(), std::uint64_t{0}) +
         std::accumulate(receivedMessages.begin(), receivedMessages.end(), std::uint64_t{0});
}

Fleet::Fleet(Shape shape)
    : shape_(shape), random_(shape.seed), platform_(runnerList(shape.runners, shape.models, shape.zones)) {
  nodes_.resize(shape.daemons);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& place = nodes_[i].place;
    place.isController = i < shape.controllers;
    place.name = fmt::format("node-{}", i);
    place.zone = fmt::format("zone-{}", zoneOf(i));
    place.peerAddress = {kFirstIp + static_cast<std::uint32_t>(i),
                         static_cast<std::uint16_t>(place.isController ? 7001 : 7000)};
    place.control = {place.peerAddress.ip, 8000};
    if (place.isController && seeds_.size() < kSeeds) seeds_.push_back(place);
  }
  setBack();  // the accounts may have been those of a fleet before
  for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
  at(now_ + Millis(3000), [this] { first_ = false; });
}

Fleet::~Fleet() = default;

void Fleet::at(base::TimePoint when, std::function<void()> what) {
  const HeapScope scope(0);
  events_.push_back({when, ++order_, std::move(what)});
  std::push_heap(events_.begin(), events_.end(), [](const auto& a, const auto& b) { return later(a, b); });
}

void Fleet::run(Millis span) {
  runUntil(span, [] { return false; });
}

std::optional<Millis> Fleet::runUntil(Millis limit, const std::function<bool()>& done) {
  const auto begun = now_;
  const auto end = begun + limit;
  auto look = begun;
  for (;;) {
    if (events_.empty() || events_.front().at >= look) {
      if (done()) {
        now_ = std::max(now_, look);
        return std::chrono::duration_cast<Millis>(look - begun);
      }
      if (look >= end) break;
      look += Millis(1);
      continue;
    }
    std::pop_heap(events_.begin(), events_.end(), [](const auto& a, const auto& b) { return later(a, b); });
    auto event = std::move(events_.back());
    events_.pop_back();
    now_ = event.at;
    event.what();
  }
  now_ = end;
  return std::nullopt;
}

void Fleet::setBack() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].totals = {};
    forgetMost(account(i));
  }
}

std::size_t Fleet::indexOf(const settings::Endpoint& peerAddress) const { return peerAddress.ip - kFirstIp; }

void Fleet::start(std::size_t i) {
  auto& n = nodes_[i];
  ++n.incarnation;
  Output effects;
  {
    const HeapScope scope(account(i));
    n.daemon = std::make_unique<Daemon>(n.place, seeds_, n.disk, first_ && n.incarnation == 1, shape_.faultTolerance,
                                        random_(), now_, effects);
  }
  for (auto& write : effects.writes) n.disk[write.slot] = write.bytes;
  at(now_ + Millis(random_() % 200), [this, i, incarnation = n.incarnation] { tickLoop(i, incarnation); });
}

void Fleet::kill(std::size_t i) {
  auto& n = nodes_[i];
  n.daemon.reset();
  n.unsynced.clear();
  n.channels.clear();
}

void Fleet::tickLoop(std::size_t i, std::uint64_t incarnation) {
  auto& n = nodes_[i];
  if (!n.daemon || n.incarnation != incarnation) return;
  step(i, [this](Daemon& d, Output& effects) { d.tick(now_, effects); });
  if (n.daemon->isListReadDue(now_)) {
    ++n.totals.platformReads;
    at(now_ + kPlatformAnswer, [this, i, incarnation, askedAt = now_] {
      if (nodes_[i].daemon && nodes_[i].incarnation == incarnation)
        step(i, [&](Daemon& d, Output& effects) { d.onListRead(platform_, askedAt, now_, effects); });
    });
  }
  at(now_ + Daemon::tickPeriod(n.place.isController), [this, i, incarnation] { tickLoop(i, incarnation); });
}

// One call into a core: its memory and processor time are put down to the daemon, what comes out is carried out.
void Fleet::step(std::size_t i, const std::function<void(Daemon&, Output&)>& call) {
  auto& n = nodes_[i];
  std::vector<Parcel> parcels;
  Output effects;
  {
    const HeapScope scope(account(i));
    const auto from = threadCpuNs();
    call(*n.daemon, effects);
    pack(effects.out, parcels);
    n.totals.cpuNs += threadCpuNs() - from;
    effects.out = {};
  }
  for (auto& write : effects.writes) {
    n.unsynced.push_back(std::move(write));
    at(now_ + kDiskSync + Millis(random_() % 4), [this, i, incarnation = n.incarnation] { sync(i, incarnation); });
  }
  for (const auto& answer : effects.answers)
    if (answer.status == 200) inForce_ = std::max(inForce_, wanted_);
  dispatch(i, parcels);
}

// As net::Link does it: the same message to many is encoded once, and what goes over a connection waits there as a
// copy of its own.
void Fleet::pack(net::Outbox& out, std::vector<Parcel>& parcels) const {
  const schema::Message* encoded = nullptr;
  std::shared_ptr<const std::string> bytes;
  for (const auto& item : out) {
    if (encoded == nullptr || !(item.message == *encoded))
      bytes = std::make_shared<const std::string>(net::encode(item.message));
    encoded = &item.message;
    parcels.push_back({item.to, item.message.index(),
                       bytes->size() > kDatagram ? std::make_shared<const std::string>(*bytes) : bytes});
  }
}

void Fleet::dispatch(std::size_t from, std::vector<Parcel>& parcels) {
  for (auto& parcel : parcels) {
    const auto to = indexOf(parcel.to);
    if (to >= nodes_.size()) continue;
    if (parcel.bytes->size() <= kDatagram) {
      datagram(from, to, std::move(parcel));
      continue;
    }
    auto& channel = nodes_[from].channels[to];
    channel.waiting.push_back(std::move(parcel));
    if (channel.waiting.size() > kChannelBacklog) channel.waiting.pop_front();
    if (!channel.busy) overChannel(from, to, nodes_[from].incarnation);
  }
}

// The machine's link carries one large message after the other; then the way takes its time, and up to half as much
// more. Datagrams take part of the link as well but do not wait for what goes over connections: machines queue fairly
// between flows, and connections keep little in the device's queue.
base::TimePoint Fleet::arrival(std::size_t from, std::size_t to, std::size_t size) {
  auto& n = nodes_[from];
  const auto carry =
      std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(size) * 8000.0 / shape_.linkMbps));
  n.linkFreeAt = std::max(n.linkFreeAt, now_) + carry;
  const auto leaves = size > kDatagram ? n.linkFreeAt : std::min(n.linkFreeAt, now_ + carry);
  const auto way = zoneOf(to) == zoneOf(from)       ? shape_.inZone
                   : regionOf(to) == regionOf(from) ? shape_.inRegion
                                                    : shape_.betweenRegions;
  const double more = std::uniform_real_distribution<double>(0, 0.5)(random_);
  return leaves + way + std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(way.count()) * more));
}

bool Fleet::loses(std::size_t size) {
  bool lost = false;
  for (std::size_t packet = 0; packet <= size / kPacket; ++packet)
    lost |= std::uniform_real_distribution<double>(0, 1)(random_) < shape_.loss;
  return lost;
}

void Fleet::datagram(std::size_t from, std::size_t to, Parcel parcel) {
  auto& totals = nodes_[from].totals;
  totals.sentMessages[parcel.kind] += 1;
  totals.sentBytes[parcel.kind] += parcel.bytes->size();
  const auto when = arrival(from, to, parcel.bytes->size());
  if (!reaches(from, to) || loses(parcel.bytes->size())) return;
  at(when, [this, to, from, parcel = std::move(parcel)] { arrived(to, from, parcel); });
}

// The next message that waits. One that is not there within the limit is lost, and all that waits behind it
// (net::Link).
void Fleet::overChannel(std::size_t from, std::size_t to, std::uint64_t incarnation) {
  auto& n = nodes_[from];
  if (!n.daemon || n.incarnation != incarnation) return;
  auto& channel = n.channels[to];
  channel.busy = !channel.waiting.empty();
  if (!channel.busy) return;
  auto parcel = std::move(channel.waiting.front());
  channel.waiting.pop_front();
  n.totals.sentMessages[parcel.kind] += 1;
  n.totals.sentBytes[parcel.kind] += parcel.bytes->size();
  auto when = arrival(from, to, parcel.bytes->size());
  if (loses(parcel.bytes->size())) when += kRetransmit;
  if (!reaches(from, to) || !alive(to) || when - now_ > kCallLimit) {
    at(now_ + kCallLimit, [this, from, to, incarnation] {
      if (!nodes_[from].daemon || nodes_[from].incarnation != incarnation) return;
      nodes_[from].channels[to].waiting.clear();
      overChannel(from, to, incarnation);
    });
    return;
  }
  at(when, [this, from, to, incarnation, parcel = std::move(parcel)] {
    arrived(to, from, parcel);
    overChannel(from, to, incarnation);
  });
}

void Fleet::arrived(std::size_t to, std::size_t from, const Parcel& parcel) {
  auto& n = nodes_[to];
  if (!n.daemon) return;
  n.totals.receivedMessages[parcel.kind] += 1;
  n.totals.receivedBytes[parcel.kind] += parcel.bytes->size();
  step(to, [&](Daemon& d, Output& effects) {
    auto message = net::decode(*parcel.bytes);
    if (!base::errorIn(message)) d.receive(std::get<0>(message), nodes_[from].place.peerAddress, now_, effects);
  });
}

void Fleet::sync(std::size_t i, std::uint64_t incarnation) {
  auto& n = nodes_[i];
  if (!n.daemon || n.incarnation != incarnation || n.unsynced.empty()) return;
  const auto write = std::move(n.unsynced.front());
  n.unsynced.erase(n.unsynced.begin());
  n.disk[write.slot] = write.bytes;
  step(i,
       [&](Daemon& d, Output& effects) { d.onDiskWrite(write.token, control::WriteOutcome::Synced, now_, effects); });
}

void Fleet::change(std::uint64_t revision) {
  wanted_ = revision;
  if (inForce_ >= revision) return;
  const auto holder = primary();
  // Answered too late to be counted, but in force all the same.
  if (holder && daemon(*holder).revision() >= revision) {
    inForce_ = revision;
    return;
  }
  if (holder)
    step(*holder, [&](Daemon& d, Output& effects) {
      if (d.revision() == 0)
        d.replace(++calls_, 0, configuration(revision, shape_.tenants, shape_.models), now_, effects);
      else
        d.update(++calls_, d.revision(),
                 fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}]}}}})", revision,
                             route(revision % shape_.tenants, shape_.models, 10000 + revision)),
                 now_, effects);
    });
  at(now_ + kOrderAgain, [this, revision] {
    if (inForce_ < revision && wanted_ == revision) change(revision);
  });
}

void Fleet::drainRunner(std::size_t runner, bool is) { platform_[runner % platform_.size()].draining = is; }

void Fleet::announceLoad(std::size_t i, const schema::LoadNotice& notice) {
  step(i, [&](Daemon& d, Output& effects) { d.broadcast(notice, effects); });
}

std::optional<std::size_t> Fleet::primary() const {
  for (std::size_t i = 0; i < shape_.controllers; ++i)
    if (alive(i) && daemon(i).isActivePrimary(now_)) return i;
  return std::nullopt;
}

std::optional<std::size_t> Fleet::discoveryLeader() const {
  for (std::size_t i = 0; i < shape_.controllers; ++i)
    if (alive(i) && daemon(i).isDiscoveryLeader()) return i;
  return std::nullopt;
}

bool Fleet::viewEverywhere() const {
  std::size_t running = 0;
  for (const auto& n : nodes_) running += n.daemon != nullptr;
  std::uint64_t number = 0;
  for (const auto& n : nodes_) {
    if (!n.daemon) continue;
    const auto& view = n.daemon->group().view();
    if (!view || view->members.size() != running || (number != 0 && view->number != number)) return false;
    number = view->number;
  }
  // Of the right number of members, but perhaps of a failed daemon and without its successor: members of the view
  // are compared with what each daemon calls itself.
  std::vector<std::uint64_t> own;
  const schema::View* any = nullptr;
  for (const auto& n : nodes_)
    if (n.daemon) {
      own.push_back(n.daemon->group().incarnation());
      any = &*n.daemon->group().view();
    }
  if (any == nullptr) return false;
  std::sort(own.begin(), own.end());
  return std::all_of(any->members.begin(), any->members.end(),
                     [&](const auto& m) { return std::binary_search(own.begin(), own.end(), m.incarnation); });
}

bool Fleet::inForceEverywhere(std::uint64_t revision) const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [&](const Node& n) { return !n.daemon || n.daemon->revision() >= revision; });
}

bool Fleet::listEverywhere(const schema::StateVersion& least) const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [&](const Node& n) { return !n.daemon || n.daemon->runnersVersion() >= least; });
}

}  // namespace indigohill::hollow
