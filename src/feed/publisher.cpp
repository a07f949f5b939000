#include "feed/publisher.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "base/hash.hpp"

namespace indigohill::feed {

namespace {
constexpr std::size_t kChangesKept = 32;
constexpr std::uint32_t kTellTries = 4;  // beyond that the asker is taken to be gone; its next ask begins anew

std::uint64_t digestOf(const std::vector<schema::RunnerEntry>& runners) {
  std::uint64_t sum = runners.size();
  for (const auto& e : runners) {
    sum = base::hash(fmt::format("{} {} {} {} {} {} {} {} {} {}", e.instanceId, e.service, e.zone, e.ip, e.port,
                                 e.slots, e.draining, e.warmupLeftMs, e.revision, e.models.size()),
                     sum);
    for (const auto& model : e.models) {
      sum = base::hash(fmt::format("{} {} {}", model.name, model.revision, model.adapters.size()), sum);
      for (const auto& adapter : model.adapters) sum = base::hash(adapter, sum);
    }
  }
  return sum;
}

// Of all but the digests of orders, which the primary keeps to itself.
std::uint64_t digestOf(schema::ControlState state) {
  state.takenOrders.clear();
  return base::hash(net::encodeControlState(state));
}
}  // namespace

bool Publisher::setState(const schema::ControlState& state) {
  if ((state_ && state.version <= state_->version) || state.version < floor_) return false;
  state_ = state;
  contents_.clear();
  frameDigest_ = digestOf(state);
  digestMismatch_ = false;
  return true;
}

void Publisher::compare(const schema::Update& news) {
  if (news.confirmed && state_ && news.stateVersion == state_->version && news.stateDigest != frameDigest_)
    digestMismatch_ = true;
}

bool Publisher::setRunners(const schema::StateVersion& version, std::vector<schema::RunnerEntry> runners,
                           base::TimePoint listedAt) {
  if (hasRunners_ && version < runnersStamp_) return false;
  listedAt_ = std::max(listedAt_, listedAt);
  if (hasRunners_ && version == runnersStamp_) return false;
  // In order of the ids, so that everybody who holds a version holds the same.
  const auto byId = [](const auto& a, const auto& b) { return a.instanceId < b.instanceId; };
  std::sort(runners.begin(), runners.end(), byId);
  if (hasRunners_) {
    Change change{runnersStamp_, {}};
    std::size_t i = 0, j = 0;
    while (i < runners_.size() || j < runners.size()) {
      if (j == runners.size() || (i < runners_.size() && byId(runners_[i], runners[j]))) {
        change.ids.push_back(runners_[i++].instanceId);
      } else if (i == runners_.size() || byId(runners[j], runners_[i])) {
        change.ids.push_back(runners[j++].instanceId);
      } else {
        if (!(runners_[i] == runners[j])) change.ids.push_back(runners[j].instanceId);
        ++i;
        ++j;
      }
    }
    changes_.push_back(std::move(change));
    if (changes_.size() > kChangesKept) changes_.pop_front();
  }
  runners_ = std::move(runners);
  runnersDigest_ = digestOf(runners_);
  runnersStamp_ = version;
  hasRunners_ = true;
  wholeWanted_ = false;
  contents_.clear();
  return true;
}

bool Publisher::takeRunners(const schema::Update& news, const schema::UpdateContent& content,
                            base::TimePoint listedAt) {
  if (!content.hasRunners) {
    // The same version, seen again by the platform's reader.
    if (hasRunners_ && news.runnersVersion == runnersStamp_) listedAt_ = std::max(listedAt_, listedAt);
    return false;
  }
  if (hasRunners_ && news.runnersVersion <= runnersStamp_) {
    wholeWanted_ = false;  // nobody has more
    return false;
  }
  auto runners = content.runners;
  if (content.runnersBase != schema::StateVersion{}) {
    if (!hasRunners_ || content.runnersBase != runnersStamp_) {
      wholeWanted_ = true;
      return false;
    }
    std::set<std::string_view> changed(content.gone.begin(), content.gone.end());
    for (const auto& entry : content.runners) changed.insert(entry.instanceId);
    for (const auto& entry : runners_)
      if (!changed.contains(entry.instanceId)) runners.push_back(entry);
  }
  std::sort(runners.begin(), runners.end(), [](const auto& a, const auto& b) { return a.instanceId < b.instanceId; });
  if (digestOf(runners) != content.runnersDigest) {
    wholeWanted_ = true;
    return false;
  }
  return setRunners(news.runnersVersion, std::move(runners), listedAt);
}

// The changes since the asker's version, if this daemon has held that version and they are fewer than the list.
void Publisher::putRunners(const schema::StateVersion& base, schema::UpdateContent& content) const {
  content.hasRunners = true;
  content.runnersDigest = runnersDigest_;
  std::set<std::string_view> ids;
  auto change = std::find_if(changes_.begin(), changes_.end(), [&](const auto& c) { return c.from == base; });
  const bool known = change != changes_.end();
  for (; change != changes_.end(); ++change) ids.insert(change->ids.begin(), change->ids.end());
  if (!known || ids.size() >= runners_.size()) {
    content.runners = runners_;
    return;
  }
  content.runnersBase = base;
  for (const auto& entry : runners_)
    if (ids.erase(entry.instanceId) > 0) content.runners.push_back(entry);
  content.gone.assign(ids.begin(), ids.end());
}

const std::string& Publisher::content(const schema::Poll& ask) const {
  const bool stateToo = state_ && state_->version > ask.state;
  const bool runnersToo = hasRunners_ && runnersStamp_ > ask.runners;
  const auto [kept, isNew] =
      contents_.try_emplace({stateToo, runnersToo, runnersToo ? ask.runners : schema::StateVersion{}});
  if (!isNew) return kept->second;
  schema::UpdateContent content;
  if (stateToo) {
    content.states.push_back(*state_);
    // The digests are for the primary alone.
    content.states.back().takenOrders.clear();
  }
  if (runnersToo) putRunners(ask.runners, content);
  if (stateToo || runnersToo) kept->second = net::encodeUpdateContent(content);
  return kept->second;
}

schema::UpdateContent contentOf(const schema::Update& news) {
  if (news.content.empty()) return {};
  auto content = net::decodeUpdateContent(news.content);
  return base::errorIn(content) != nullptr ? schema::UpdateContent{} : std::get<0>(std::move(content));
}

bool Publisher::hasNews(const schema::Poll& ask) const {
  return (state_ && state_->version > ask.state) || (hasRunners_ && runnersStamp_ > ask.runners);
}

void Publisher::answer(const settings::Endpoint& to, const schema::Poll& ask, base::TimePoint now,
                       net::Outbox& out) const {
  schema::Update news;
  news.token = ask.token;
  news.confirmed = confirmed_;
  if (state_) {
    news.stateVersion = state_->version;
    news.stateDigest = frameDigest_;
  }
  news.runnersVersion = runnersStamp_;
  const auto age = hasRunners_ ? std::chrono::duration_cast<base::Millis>(now - listedAt_).count() : 1'000'000;
  news.runnersAgeMs = static_cast<std::uint32_t>(std::min<std::int64_t>(age, 1'000'000));
  news.content = content(ask);
  out.push_back({to, std::move(news)});
}

void Publisher::setConfirmed(bool confirmed) {
  // Those that were told of something unconfirmed, or that wait, learn at once that it is.
  if (confirmed && !confirmed_)
    for (auto& [key, asker] : askers_)
      if (asker.open) asker.at -= times_.hold;
  confirmed_ = confirmed;
}

// Tells an asker what it lacks: at once what it was not sent yet, after a while what it does not show to have.
void Publisher::consider(const Key& key, Asker& asker, base::TimePoint now, net::Outbox& out) const {
  if (hasNews(asker.ask)) {
    const bool newer = (state_ && state_->version > asker.state && state_->version > asker.ask.state) ||
                       (hasRunners_ && runnersStamp_ > asker.runners && runnersStamp_ > asker.ask.runners);
    if (newer) asker.tries = 0;
    if (asker.tries >= kTellTries || (asker.tries > 0 && now - asker.sentAt < times_.repeat * (1 << (asker.tries - 1))))
      return;
    ++asker.tries;
    asker.sentAt = now;
    if (state_) asker.state = state_->version;
    if (hasRunners_) asker.runners = runnersStamp_;
  } else if (!asker.open || now - asker.at < times_.hold) {
    return;
  }
  asker.open = false;
  answer(key.from, asker.ask, now, out);
}

void Publisher::receive(const schema::Poll& ask, const settings::Endpoint& from, base::TimePoint now,
                        net::Outbox& out) {
  constexpr schema::StateVersion nothing{~0ULL, ~0ULL};
  const Key key{from, static_cast<std::uint8_t>((ask.state == nothing ? 1 : 0) | (ask.runners == nothing ? 2 : 0) |
                                                (ask.token == 0 ? 4 : 0))};
  auto& asker = askers_[key] = Asker{ask, now, {}, true, 0, {}, {}};
  consider(key, asker, now, out);
}

void Publisher::tick(base::TimePoint now, net::Outbox& out) {
  // At a pace: what comes again may be digestMismatch again.
  if (digestMismatch_ && state_ && now - givenUpAt_ >= times_.again) {
    givenUpAt_ = now;
    floor_ = state_->version;
    state_.reset();
    contents_.clear();
  }
  publish(now, out);
  std::erase_if(askers_, [&](const auto& entry) { return now - entry.second.at > 3 * times_.hold; });
}

void Publisher::publish(base::TimePoint now, net::Outbox& out) {
  for (auto& [key, asker] : askers_) consider(key, asker, now, out);
}

void Subscriber::tick(base::TimePoint now, const std::vector<settings::Endpoint>& targets,
                      const schema::StateVersion& state, const schema::StateVersion& runners, net::Outbox& out) {
  if (targets.empty()) return;
  const bool never = answeredAt_ == base::TimePoint{};
  if (waiting_ && now - askedAt_ < (never ? times_.first : times_.again)) return;
  // Silence, or an answer that was not confirmed: the next daemon is asked.
  if (waiting_ || rotate_) ++target_;
  rotate_ = false;
  waiting_ = true;
  askedAt_ = now;
  recent_.emplace_back(token_ + 1, now);
  out.push_back({targets[target_ % targets.size()], schema::Poll{++token_, state, runners}});
}

bool Subscriber::receive(const schema::Update& news, const settings::Endpoint&, base::TimePoint now) {
  while (!recent_.empty() && now - recent_.front().second > 2 * times_.again) recent_.pop_front();
  const auto asked = [&](const auto& ask) { return ask.first == news.token; };
  if (std::none_of(recent_.begin(), recent_.end(), asked)) return false;
  waiting_ = false;
  answeredAt_ = now;
  if (news.confirmed)
    confirmedAt_ = now;
  else if (news.token == token_)
    rotate_ = true;
  return true;
}

}  // namespace indigohill::feed
