#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <csignal>

#include "cli/process.hpp"
#include "cli/roles.hpp"
#include "control/calls.hpp"
#include "control/controller.hpp"
#include "http/server.hpp"
#include "net/link.hpp"
#include "store/store.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

constexpr Millis kTick{100}, kRelayTick{250};

class Process {
 public:
  Process(const settings::Settings& settings, const std::string& path, std::unique_ptr<store::Store> store)
      : watch_(path, "controller", settings),
        seed_(randomSeed()),
        store_(std::move(store)),
        io_(1),
        executor_(io_.get_executor()),
        core_({settings.nodeName, settings.zone, cohortAddress(settings, true)}, identity(settings),
              seedAddresses(settings), tuningOf(settings), seed_),
        control_(executor_, settings.controlPlane, {},
                 [this](http::Request request, settings::Endpoint) { return call(std::move(request)); }),
        link_(executor_, cohortAddress(settings, true),
              [this](const schema::Message& m, const settings::Endpoint& from) { receive(m, from); }),
        reader_(executor_, settings.address) {}

  int run() {
    control_.start();
    link_.start();
    asio::co_spawn(io_, every(executor_, store_ ? kTick : kRelayTick, [this] { return tick(); }), asio::detached);
    asio::co_spawn(io_,
                   onSignals(
                       executor_, [this] { leave(); }, [this] { reread(true); }),
                   asio::detached);
    const auto& record = core_.replica().record();
    spdlog::info("controller started: control {}, cohort {}, voter {}, {}", settings::text(watch_.now().controlPlane),
                 settings::text(cohortAddress(watch_.now(), true)), store_ ? core_.replica().voterId() : "none (relay)",
                 record ? fmt::format("epoch {}", record->epoch) : "no record");
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

  static control::Controller::Tuning tuningOf(const settings::Settings& s) {
    control::Controller::Tuning tuning;
    tuning.group = groupTimes(s);
    tuning.listPeriod = runners::listPeriod(s, 1);
    tuning.grace = s.gracePeriodS;
    // Each zone may be lost with the copy and the vote that it holds; voters and copies are spread over zones.
    tuning.faultTolerance = std::max<std::size_t>({1, s.machines, s.zones});
    // What goes wrong with a write must be mended well within the time that an order may take.
    tuning.replica.writeStuck = std::min(tuning.replica.writeStuck, s.ackTimeoutMs * 3 / 10);
    tuning.replica.gather = std::min(tuning.replica.gather, s.ackTimeoutMs * 3 / 8);
    tuning.replica.orderLife = std::min(tuning.replica.orderLife, s.ackTimeoutMs * 7 / 8);
    return tuning;
  }

  control::Identity identity(const settings::Settings& s) {
    if (!store_) return {};
    std::vector<control::DiskWrite> writes;
    auto out = control::identify([this](control::Slot slot) { return store_->read(slot); },
                                 s.bootstrap && !store_->wasLost(), s.seedNodes, s.controlPlane, seed_, writes);
    for (auto& write : writes) store_->write(std::move(write), {});
    return out;
  }

  asio::awaitable<http::Response> call(http::Request request) {
    const auto found = control::findCall({request.method_string().data(), request.method_string().size()},
                                         {request.target().data(), request.target().size()});
    if (!found) co_return http::answer(request, 404, "no such call");
    if (found->kind == control::Call::Kind::Status) co_return http::answer(request, 200, status(), "application/json");
    control::Order order;
    order.call = ++calls_;
    order.kind = found->order;
    const bool ofRollout = order.kind == control::OrderKind::DeclareRollout ||
                           order.kind == control::OrderKind::AdvanceRollout ||
                           order.kind == control::OrderKind::WithdrawRollout;
    if (ofRollout) order.service = found->argument;
    order.body = found->argument.empty() || ofRollout ? request.body() : found->argument;
    const auto version = request["Indigohill-Base-Version"];
    if (order.kind == control::OrderKind::Replace || order.kind == control::OrderKind::Update) {
      const auto [at, error] = std::from_chars(version.data(), version.data() + version.size(), order.baseVersion);
      if (!version.empty() && (error != std::errc{} || at != version.data() + version.size()))
        co_return http::answer(request, 400, "Indigohill-Base-Version: a whole number is wanted");
    }
    auto timer = std::make_shared<asio::steady_timer>(executor_, std::chrono::seconds(10));
    const auto id = order.call;
    waiting_[id] = {timer, std::nullopt};
    control::Effects effects;
    core_.order(std::move(order), base::Clock::now(), effects);
    apply(effects);
    if (!waiting_[id].answer) co_await timer->async_wait(http::kTuple);
    const auto answer = waiting_[id].answer.value_or(control::Answer{id, 503, "not finished in time", {}});
    waiting_.erase(id);
    auto reply =
        http::answer(request, answer.status, answer.body, answer.status == 200 ? "application/json" : "text/plain");
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
    const auto& replica = core_.replica();
    const auto& source = core_.source();
    const auto& group = core_.group();
    boost::json::object out;
    out["voter"] = replica.voterId();
    out["active"] = replica.active(base::Clock::now());
    if (const auto& r = replica.record()) {
      out["epoch"] = r->epoch;
      out["primary"] = r->primary;
      out["backups"] = boost::json::value_from(r->backups);
      out["voters"] = boost::json::value_from(r->voters);
    }
    if (const auto& f = source.state()) {
      out["revision"] = f->revision;
      out["evacuated"] = boost::json::value_from(f->evacuated);
      out["rollouts"] = boost::json::parse(rollout::status(f->rollouts, source.runners()));
    }
    out["runners"] = source.runners().size();
    out["lease"] = group.leaseHeld(base::Clock::now());
    if (const auto& v = group.view()) {
      out["view"] = v->number;
      out["lister"] = v->lister;
      boost::json::array members;
      for (const auto& m : v->members)
        members.push_back({{"id", m.id}, {"zone", m.zone}, {"incarnation", m.incarnation}});
      out["members"] = std::move(members);
    }
    out["rejectedMessages"] = group.rejected();
    out["timesToldDead"] = group.deaths();
    out["droppedMessages"] = link_.dropped();
    return boost::json::serialize(out);
  }

  // Carries out what the core wants done.
  void apply(control::Effects& effects) {
    for (const auto& note : effects.notes) spdlog::info("{}", note);
    for (auto& write : effects.writes)
      store_->write(std::move(write), [this](std::uint64_t token, bool ok) {
        asio::post(executor_, [this, token, ok] {
          control::Effects after;
          core_.synced(token, ok, base::Clock::now(), after);
          apply(after);
        });
      });
    for (auto& answer : effects.answers)
      if (const auto found = waiting_.find(answer.call); found != waiting_.end()) {
        found->second.answer = std::move(answer);
        found->second.timer->cancel();
      }
    link_.send(effects.out);
  }

  void receive(const schema::Message& message, const settings::Endpoint& from) {
    control::Effects effects;
    core_.receive(message, from, base::Clock::now(), effects);
    apply(effects);
  }

  bool tick() {
    const auto now = base::Clock::now();
    control::Effects effects;
    core_.tick(now, effects);
    if (!reading_ && core_.readingDue(now)) {
      reading_ = true;
      asio::co_spawn(io_,
                     readRunners(reader_, reading_,
                                 [this](std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt) {
                                   core_.setListPeriod(runners::listPeriod(watch_.now(), reader_.pages()));
                                   control::Effects after;
                                   core_.listed(std::move(runners), askedAt, base::Clock::now(), after);
                                   apply(after);
                                 }),
                     asio::detached);
    }
    if (now - lookedAt_ >= kSettingsLook) {
      lookedAt_ = now;
      reread(false);
    }
    apply(effects);
    if (!core_.left(now)) return true;
    io_.stop();
    return false;
  }

  void reread(bool told) {
    if (watch_.look(told)) core_.setSeeds(seedAddresses(watch_.now()));
  }

  void leave() {
    control::Effects effects;
    core_.leave(base::Clock::now(), effects);
    apply(effects);
  }

  SettingsWatch watch_;
  std::uint64_t seed_;
  std::unique_ptr<store::Store> store_;
  asio::io_context io_;
  asio::any_io_executor executor_;
  control::Controller core_;
  http::Server control_;
  net::Link link_;
  runners::Reader reader_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t calls_ = 0;
  bool reading_ = false;
  base::TimePoint lookedAt_{};
};

}  // namespace

int runController(const settings::Settings& settings, const std::string& settingsPath) {
  std::signal(SIGPIPE, SIG_IGN);
  // No disk, or one whose loss does not count: nothing is kept there.
  if (settings.dataDirectory.empty() || !settings.quorumMember) return Process(settings, settingsPath, nullptr).run();
  const auto mapBytes =
      std::max<std::uint64_t>(4u << 20, std::min<std::uint64_t>(32u << 20, settings.diskMb * (1u << 19)));
  auto opened = store::Store::open(settings.dataDirectory, mapBytes);
  if (const auto* bad = base::errorIn(opened)) {
    spdlog::critical("store: {}", bad->what);
    return 1;
  }
  Process process(settings, settingsPath, std::get<0>(std::move(opened)));
  return process.run();
}

}  // namespace indigohill::cli
