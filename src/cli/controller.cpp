#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <csignal>

#include "cli/process.hpp"
#include "cli/roles.hpp"
#include "control/calls.hpp"
#include "http/server.hpp"
#include "net/link.hpp"
#include "runners/reader.hpp"
#include "store/store.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

constexpr Millis kTick{100};
constexpr Millis kSettingsLook{1000};
constexpr std::uint64_t kFloorStep = 1u << 19;  // half of what each founding sets aside

// Who this controller is. The seeds of the very first start are the voters and know each other by their addresses. An
// empty disk at any other time is a newcomer under a new name, never the voter that was here before.
struct Identity {
  std::string voterId;
  control::Replica::Loaded loaded;
  std::uint64_t floor = 0;
};

Identity identify(const settings::Settings& s, store::Store& store, std::uint64_t seed) {
  Identity out;
  if (auto id = store.read(control::Slot::Identity)) {
    out.voterId = *id;
    if (auto bytes = store.read(control::Slot::Record))
      if (auto r = net::decodeRecord(*bytes); !base::fault(r)) out.loaded.record = std::get<0>(std::move(r));
    if (auto bytes = store.read(control::Slot::Vote))
      if (auto r = net::decodeVote(*bytes); !base::fault(r)) out.loaded.vote = std::get<0>(std::move(r));
    if (auto bytes = store.read(control::Slot::Frame))
      if (auto r = net::decodeFrame(*bytes); !base::fault(r)) out.loaded.frame = std::get<0>(std::move(r));
    if (auto bytes = store.read(control::Slot::Floor))
      std::from_chars(bytes->data(), bytes->data() + bytes->size(), out.floor);
    return out;
  }
  const auto own = settings::text(s.controlPlane);
  std::vector<std::string> seeds;
  for (const auto& seedNode : s.seedNodes) seeds.push_back(settings::text(seedNode));
  const bool first =
      s.bootstrap && !store.wasLost() && std::find(seeds.begin(), seeds.end(), own) != seeds.end();
  out.voterId = first ? own : fmt::format("n-{:016x}", seed);
  store.write({0, control::Slot::Identity, out.voterId}, {});
  if (first) {
    out.loaded.record = control::Replica::firstRecord(seeds);
    store.write({0, control::Slot::Record, net::encodeRecord(*out.loaded.record)}, {});
  }
  return out;
}

class Controller {
 public:
  Controller(const settings::Settings& settings, const std::string& path, std::unique_ptr<store::Store> store)
      : watch_(path, "controller", settings), seed_(randomSeed()), store_(std::move(store)),
        identity_(identify(settings, *store_, seed_)), io_(1), executor_(io_.get_executor()),
        group_({settings.nodeName + "/controller", identity_.voterId, settings.zone, membership::Role::Controller,
                cohortAddress(settings, true)},
               seedAddresses(settings), groupTimes(settings), seed_),
        replica_({identity_.voterId, settings.zone, cohortAddress(settings, true)}, identity_.loaded,
                 control::ReplicaTimes{}, seed_ + 1),
        source_(feed::Times{}), frameSink_(feed::Times{}, seed_), runnerSink_(feed::Times{}, seed_ ^ 1),
        control_(executor_, settings.controlPlane, {},
                 [this](http::Request request, settings::Endpoint) { return call(std::move(request)); }),
        link_(executor_, cohortAddress(settings, true),
              [this](const schema::Message& m, const settings::Endpoint& from) { receive(m, from); }),
        reader_(executor_, settings.address) {
    group_.setFloor(identity_.floor);
    floorKept_ = identity_.floor;
    if (identity_.loaded.record) group_.setVoters(identity_.loaded.record->epoch, identity_.loaded.record->voters);
  }

  int run() {
    control_.start();
    link_.start();
    asio::co_spawn(io_, every(executor_, kTick, [this] { return tick(); }), asio::detached);
    asio::co_spawn(io_, onSignals(executor_, [this] { leave(); }, [this] { reread(true); }), asio::detached);
    spdlog::info("controller started: control {}, cohort {}, voter {}, {}", settings::text(watch_.now().controlPlane),
                 settings::text(cohortAddress(watch_.now(), true)), identity_.voterId,
                 identity_.loaded.record ? fmt::format("epoch {}", identity_.loaded.record->epoch) : "no record");
    io_.run();
    store_.reset();
    spdlog::info("controller ends");
    return 0;
  }

 private:
  struct Waiting {
    std::shared_ptr<asio::steady_timer> timer;
    std::optional<control::Answer> answer;
  };

  asio::awaitable<http::Response> call(http::Request request) {
    const auto found = control::findCall({request.method_string().data(), request.method_string().size()},
                                         {request.target().data(), request.target().size()});
    if (!found) co_return http::answer(request, 404, "no such call");
    if (found->kind == control::Call::Kind::Status) co_return http::answer(request, 200, status(), "application/json");
    control::Order order;
    order.call = ++calls_;
    order.kind = found->order;
    order.body = found->argument.empty() ? request.body() : found->argument;
    const auto version = request["Indigohill-Base-Version"];
    if (order.kind == control::OrderKind::Replace || order.kind == control::OrderKind::Update) {
      const auto [at, error] =
          std::from_chars(version.data(), version.data() + version.size(), order.baseVersion);
      if (!version.empty() && (error != std::errc{} || at != version.data() + version.size()))
        co_return http::answer(request, 400, "Indigohill-Base-Version: a whole number is wanted");
    }
    auto timer = std::make_shared<asio::steady_timer>(executor_, std::chrono::seconds(10));
    const auto id = order.call;
    waiting_[id] = {timer, std::nullopt};
    const auto now = base::Clock::now();
    control::Effects fx;
    replica_.order(std::move(order), now, fx);
    apply(fx, now);
    if (!waiting_[id].answer) co_await timer->async_wait(http::kTuple);
    const auto answer = waiting_[id].answer.value_or(control::Answer{id, 503, "not finished in time", {}});
    waiting_.erase(id);
    auto reply = http::answer(request, answer.status, answer.body,
                              answer.status == 200 ? "application/json" : "text/plain");
    if (answer.status == 307) {
      const settings::Endpoint primary{answer.redirect.ip, watch_.now().controlPlane.port};
      reply.set(http::wire::field::location, "http://" + settings::text(primary) + std::string(request.target()));
    }
    if (answer.status == 503) reply.set(http::wire::field::retry_after, "0.2");
    if (answer.status >= 400 && answer.status != 503 && answer.status != 404)
      spdlog::info("{} answered {}: {}", std::string(request.target()), answer.status, answer.body);
    co_return reply;
  }

  std::string status() const {
    boost::json::object out;
    out["voter"] = identity_.voterId;
    out["active"] = replica_.active();
    if (const auto& r = replica_.record()) {
      out["epoch"] = r->epoch;
      out["primary"] = r->primary;
      out["backup"] = r->backup;
      out["voters"] = boost::json::value_from(r->voters);
    }
    if (const auto& f = source_.frame()) {
      out["revision"] = f->revision;
      out["evacuated"] = boost::json::value_from(f->evacuated);
    }
    out["runners"] = source_.runners().size();
    out["lease"] = group_.leaseHeld(base::Clock::now());
    if (const auto& v = group_.view()) {
      out["view"] = v->number;
      out["lister"] = v->lister;
      boost::json::array members;
      for (const auto& m : v->members)
        members.push_back({{"id", m.id}, {"zone", m.zone}, {"incarnation", m.incarnation}});
      out["members"] = std::move(members);
    }
    out["droppedMessages"] = link_.dropped();
    return boost::json::serialize(out);
  }

  control::Around around(base::TimePoint now) const {
    control::Around out;
    out.lease = group_.leaseHeld(now);
    if (group_.view())
      for (const auto& m : group_.view()->members)
        if (m.role == static_cast<std::uint8_t>(membership::Role::Controller)) out.controllers.push_back(m);
    return out;
  }

  void apply(control::Effects& fx, base::TimePoint now) {
    for (auto& write : fx.writes)
      store_->write(std::move(write), [this](std::uint64_t token, bool ok) {
        asio::post(executor_, [this, token, ok] {
          const auto at = base::Clock::now();
          control::Effects after;
          replica_.synced(token, ok, at, after);
          apply(after, at);
        });
      });
    for (auto& answer : fx.answers)
      if (const auto found = waiting_.find(answer.call); found != waiting_.end()) {
        found->second.answer = std::move(answer);
        found->second.timer->cancel();
      }
    net::Outbox out = std::move(fx.out);
    publish(now, out);
    link_.send(out);
  }

  // What is in force goes to those that ask for news.
  void publish(base::TimePoint now, net::Outbox& out) {
    if (replica_.published() && source_.setFrame(*replica_.published())) {
      spdlog::info("configuration {} in force (epoch {}, serial {})", replica_.published()->revision,
                   replica_.published()->stamp.epoch, replica_.published()->stamp.serial);
      group_.setHeld(replica_.published()->stamp);
    }
    if (const auto& record = replica_.record()) {
      if (record->epoch != loggedEpoch_) {
        loggedEpoch_ = record->epoch;
        spdlog::info("epoch {}: primary {}, backup {}", record->epoch, record->primary, record->backup);
      }
      group_.setVoters(record->epoch, record->voters);
    }
    // A relay vouches for what it has only while it is in touch with the primary and has all that is in force there.
    const bool fresh = replica_.active() || (replica_.primaryFresh(now) && source_.frame() &&
                                             source_.frame()->stamp >= replica_.primaryStamp());
    source_.setConfirmed(fresh && group_.leaseHeld(now));
    source_.publish(now, out);
  }

  void receive(const schema::Message& message, const settings::Endpoint& from) {
    const auto now = base::Clock::now();
    net::Outbox out;
    if (const auto* ask = std::get_if<schema::Ask>(&message)) {
      source_.receive(*ask, from, now, out);
      link_.send(out);
      return;
    }
    if (const auto* news = std::get_if<schema::News>(&message)) {
      frameSink_.receive(*news, from, now);
      const bool runners = runnerSink_.receive(*news, from, now);
      for (const auto& frame : news->frames)
        if (!replica_.active() && source_.setFrame(frame)) group_.setHeld(frame.stamp);
      const bool known = source_.hasRunners() && news->runnersStamp == source_.runnersStamp();
      if (runners && (news->hasRunners || known))
        source_.setRunners(news->runnersStamp, news->runners, now - Millis(news->runnersAgeMs));
      publish(now, out);
      askForNews(now, out);
      settle(now, out);
      return;
    }
    group_.receive(message, from, now, out);
    control::Effects fx;
    replica_.receive(message, from, now, fx);
    settle(now, out);
    apply(fx, now);
  }

  // Frames from the primary, runners from the holder of that duty.
  void askForNews(base::TimePoint now, net::Outbox& out) {
    const auto stamp = source_.frame() ? source_.frame()->stamp : schema::Stamp{};
    constexpr schema::Stamp nothing{~0ULL, ~0ULL};
    if (const auto primary = replica_.primaryAddress(); primary && !replica_.active())
      frameSink_.tick(now, {*primary}, stamp, nothing, out);
    if (group_.view() && !group_.isLister())
      for (const auto& m : group_.view()->members)
        if (m.incarnation == group_.view()->lister)
          runnerSink_.tick(now, {{m.ip, m.port}}, nothing, source_.runnersStamp(), out);
  }

  void settle(base::TimePoint now, net::Outbox& out) {
    for (const auto& delivered : group_.takeDelivered()) {
      if (delivered.view) {
        spdlog::info("view {}: {} members, incarnation {}{}", delivered.view->number, delivered.view->members.size(),
                     group_.incarnation(), group_.isLister() ? ", reads the list of runners" : "");
        if (group_.floor() > floorKept_ + kFloorStep || floorKept_ == 0) {
          floorKept_ = group_.floor();
          store_->write({0, control::Slot::Floor, std::to_string(floorKept_)}, {});
        }
      } else {
        spdlog::warn("left the group, told dead; joining again");
      }
    }
    if (const auto holder = group_.flushFrom())
      out.push_back({*holder, schema::Ask{0, source_.frame() ? source_.frame()->stamp : schema::Stamp{}, {~0ULL, 0}}});
    (void)now;
    link_.send(out);
  }

  bool tick() {
    const auto now = base::Clock::now();
    net::Outbox out;
    group_.tick(now, out);
    control::Effects fx;
    replica_.tick(now, around(now), fx);
    source_.tick(now, out);
    askForNews(now, out);
    considerReading(now);
    if (now - lookedAt_ >= kSettingsLook) {
      lookedAt_ = now;
      reread(false);
    }
    settle(now, out);
    apply(fx, now);
    if (!leaving_) return true;
    // Gone once somebody else leads, or after a while in any case.
    const auto since = now - leftAt_;
    const bool leads = replica_.record() && replica_.record()->primary == identity_.voterId;
    if (since < Millis(300) || (leads && since < watch_.now().gracePeriodS / 4)) return true;
    io_.stop();
    return false;
  }

  void considerReading(base::TimePoint now) {
    if (reading_ || !group_.isLister() || !group_.leaseHeld(now) || leaving_) return;
    if (now - readAt_ < runners::listPeriod(watch_.now())) return;
    reading_ = true;
    readAt_ = now;
    asio::co_spawn(io_, readList(), asio::detached);
  }

  asio::awaitable<void> readList() {
    const auto askedAt = base::Clock::now();
    auto result = co_await reader_.read(Millis(1000));
    reading_ = false;
    const auto now = base::Clock::now();
    if (const auto* bad = base::fault(result)) {
      spdlog::warn("list of runners not read: {}", bad->what);
      co_return;
    }
    if (!group_.view() || !group_.isLister()) co_return;
    auto runners = std::get<0>(std::move(result));
    auto stamp = source_.runnersStamp();
    const auto between = std::chrono::duration_cast<Millis>(askedAt - source_.listedAt());
    if (!source_.hasRunners() || !runners::sameRunners(source_.runners(), runners, between))
      stamp = {group_.view()->number, stamp.epoch == group_.view()->number ? stamp.serial + 1 : 1};
    if (source_.setRunners(stamp, std::move(runners), askedAt))
      spdlog::info("list of runners: {} of them (version {}.{})", source_.runners().size(), stamp.epoch, stamp.serial);
    net::Outbox out;
    source_.publish(now, out);
    link_.send(out);
  }

  void reread(bool told) {
    if (watch_.look(told)) group_.setSeeds(seedAddresses(watch_.now()));
  }

  void leave() {
    if (leaving_) return;
    leaving_ = true;
    leftAt_ = base::Clock::now();
    net::Outbox out;
    replica_.handOver(out);
    group_.leave(out);
    link_.send(out);
    spdlog::info("leaving in order");
  }

  SettingsWatch watch_;
  std::uint64_t seed_;
  std::unique_ptr<store::Store> store_;
  Identity identity_;
  asio::io_context io_;
  asio::any_io_executor executor_;
  membership::Group group_;
  control::Replica replica_;
  feed::Source source_;
  feed::Sink frameSink_, runnerSink_;
  http::Server control_;
  net::Link link_;
  runners::Reader reader_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t calls_ = 0, floorKept_ = 0, loggedEpoch_ = 0;
  bool reading_ = false, leaving_ = false;
  base::TimePoint readAt_{}, lookedAt_{}, leftAt_{};
};

}  // namespace

int runController(const settings::Settings& settings, const std::string& settingsPath) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto mapBytes = std::max<std::uint64_t>(4u << 20, std::min<std::uint64_t>(32u << 20, settings.diskMb * (1u << 19)));
  auto opened = store::Store::open(settings.dataDirectory, mapBytes);
  if (const auto* bad = base::fault(opened)) {
    spdlog::critical("store: {}", bad->what);
    return 1;
  }
  Controller controller(settings, settingsPath, std::get<0>(std::move(opened)));
  return controller.run();
}

}  // namespace indigohill::cli
