#pragma once
#include <map>
#include <optional>
#include <vector>

#include "base/time.hpp"
#include "net/codec.hpp"

// How news reaches the daemons that carry traffic: each asks with the versions it holds and is answered when there is
// something newer, or after a while with how old the list of runners is by now.
namespace indigohill::feed {

struct Times {
  base::Millis hold{700};    // an ask without news is answered after this
  base::Millis again{1500};  // an ask without an answer is sent again after this, to another daemon
  base::Millis first{300};   // the same as long as nothing has ever been answered: the other side may just start too
};

// Holds the newest of everything and the asks that wait for newer.
class Source {
 public:
  explicit Source(Times times) : times_(times) {}

  // Versions only rise within one life: what is older than what is held is not taken.
  bool setFrame(const schema::Frame& frame);
  // Looks whether what is held under a stamp is what the answering daemon holds under it. What is doubted is given up
  // before long and so fetched whole again; until then, and until it has come, the daemon is not ready.
  void compare(const schema::News& news);
  void doubt() { doubted_ = true; }
  bool doubted() const { return doubted_; }
  bool setRunners(const schema::Stamp& stamp, std::vector<schema::RunnerEntry> runners, base::TimePoint listedAt);
  void setConfirmed(bool confirmed) { confirmed_ = confirmed; }

  void receive(const schema::Ask& ask, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void tick(base::TimePoint now, net::Outbox& out);
  // Answers the asks for which there is news.
  void publish(base::TimePoint now, net::Outbox& out);

  const std::optional<schema::Frame>& frame() const { return frame_; }
  const std::vector<schema::RunnerEntry>& runners() const { return runners_; }
  const schema::Stamp& runnersStamp() const { return runnersStamp_; }
  base::TimePoint listedAt() const { return listedAt_; }
  bool hasRunners() const { return hasRunners_; }

 private:
  struct Held {
    schema::Ask ask;
    base::TimePoint at;
  };
  bool hasNews(const schema::Ask& ask) const;
  static std::uint64_t digestOf(schema::Frame frame);
  void answer(const settings::Endpoint& to, const schema::Ask& ask, base::TimePoint now, net::Outbox& out) const;

  Times times_;
  std::optional<schema::Frame> frame_;
  schema::Stamp runnersStamp_;
  std::vector<schema::RunnerEntry> runners_;
  base::TimePoint listedAt_{};
  bool hasRunners_ = false, confirmed_ = false, doubted_ = false;
  std::uint64_t frameDigest_ = 0;
  schema::Stamp floor_;  // of what was given up: nothing older is taken
  base::TimePoint givenUpAt_{};
  std::map<settings::Endpoint, Held> held_;
};

// Asks one daemon after the other.
class Sink {
 public:
  explicit Sink(Times times, std::uint64_t seed) : times_(times), token_(seed) {}

  void tick(base::TimePoint now, const std::vector<settings::Endpoint>& targets, const schema::Stamp& frame,
            const schema::Stamp& runners, net::Outbox& out);
  // True when the news answers the ask that is under way; the next is then sent with the next tick.
  bool receive(const schema::News& news, const settings::Endpoint& from, base::TimePoint now);

  // Within this life, a configuration was once confirmed as the newest.
  bool everConfirmed() const { return confirmedSeen_; }

 private:
  Times times_;
  std::uint64_t token_;
  std::size_t target_ = 0;
  bool waiting_ = false, confirmedSeen_ = false, rotate_ = false;
  base::TimePoint askedAt_{}, answeredAt_{};
};

}  // namespace indigohill::feed
