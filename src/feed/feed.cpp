#include "feed/feed.hpp"

#include "base/hash.hpp"

namespace indigohill::feed {

bool Source::setFrame(const schema::Frame& frame) {
  if ((frame_ && frame.stamp <= frame_->stamp) || frame.stamp < floor_) return false;
  frame_ = frame;
  frameDigest_ = digestOf(frame);
  doubted_ = false;
  return true;
}

// Of all but the digests of orders, which the primary keeps to itself.
std::uint64_t Source::digestOf(schema::Frame frame) {
  frame.digests.clear();
  return base::hash(net::encodeFrame(frame));
}

void Source::compare(const schema::News& news) {
  if (news.confirmed && frame_ && news.frameStamp == frame_->stamp && news.frameDigest != frameDigest_) doubted_ = true;
}

bool Source::setRunners(const schema::Stamp& stamp, std::vector<schema::RunnerEntry> runners,
                        base::TimePoint listedAt) {
  if (hasRunners_ && stamp < runnersStamp_) return false;
  listedAt_ = std::max(listedAt_, listedAt);
  const bool changed = !hasRunners_ || stamp > runnersStamp_;
  if (changed) {
    runners_ = std::move(runners);
    runnersStamp_ = stamp;
    hasRunners_ = true;
  }
  return changed;
}

bool Source::hasNews(const schema::Ask& ask) const {
  return (frame_ && frame_->stamp > ask.frame) || (hasRunners_ && runnersStamp_ > ask.runners);
}

void Source::answer(const settings::Endpoint& to, const schema::Ask& ask, base::TimePoint now,
                    net::Outbox& out) const {
  schema::News news;
  news.token = ask.token;
  news.confirmed = confirmed_;
  if (frame_) {
    news.frameStamp = frame_->stamp;
    news.frameDigest = frameDigest_;
  }
  if (frame_ && frame_->stamp > ask.frame) {
    news.frames.push_back(*frame_);
    // The digests are for the primary alone.
    news.frames.back().digests.clear();
  }
  news.runnersStamp = runnersStamp_;
  const auto age = hasRunners_ ? std::chrono::duration_cast<base::Millis>(now - listedAt_).count() : 1'000'000;
  news.runnersAgeMs = static_cast<std::uint32_t>(std::min<std::int64_t>(age, 1'000'000));
  if (hasRunners_ && runnersStamp_ > ask.runners) {
    news.hasRunners = true;
    news.runners = runners_;
  }
  out.push_back({to, news});
}

void Source::receive(const schema::Ask& ask, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if (hasNews(ask)) {
    held_.erase(from);
    answer(from, ask, now, out);
  } else {
    held_[from] = {ask, now};
  }
}

void Source::tick(base::TimePoint now, net::Outbox& out) {
  // At a pace: what comes again may be doubted again.
  if (doubted_ && frame_ && now - givenUpAt_ >= times_.again) {
    givenUpAt_ = now;
    floor_ = frame_->stamp;
    frame_.reset();
  }
  for (auto it = held_.begin(); it != held_.end();) {
    if (now - it->second.at >= times_.hold) {
      answer(it->first, it->second.ask, now, out);
      it = held_.erase(it);
    } else {
      ++it;
    }
  }
}

void Source::publish(base::TimePoint now, net::Outbox& out) {
  for (auto it = held_.begin(); it != held_.end();) {
    if (hasNews(it->second.ask)) {
      answer(it->first, it->second.ask, now, out);
      it = held_.erase(it);
    } else {
      ++it;
    }
  }
}

void Sink::tick(base::TimePoint now, const std::vector<settings::Endpoint>& targets, const schema::Stamp& frame,
                const schema::Stamp& runners, net::Outbox& out) {
  if (targets.empty()) return;
  const bool never = answeredAt_ == base::TimePoint{};
  if (waiting_ && now - askedAt_ < (never ? times_.first : times_.again)) return;
  // Silence, or an answer that was not confirmed: the next daemon is asked.
  if (waiting_ || rotate_) ++target_;
  rotate_ = false;
  waiting_ = true;
  askedAt_ = now;
  out.push_back({targets[target_ % targets.size()], schema::Ask{++token_, frame, runners}});
}

bool Sink::receive(const schema::News& news, const settings::Endpoint&, base::TimePoint now) {
  if (!waiting_ || news.token != token_) return false;
  waiting_ = false;
  answeredAt_ = now;
  if (news.confirmed) {
    confirmedSeen_ = true;
  } else {
    rotate_ = true;
  }
  return true;
}

}  // namespace indigohill::feed
