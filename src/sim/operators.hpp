#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/world.hpp"

// Operators of a simulated fleet that send orders side by side, send them again, give up and go on, and a book of what
// they were told, which is checked against what is in force at the daemons.
namespace indigohill::sim {

struct OperatorOptions {
  std::size_t parallel = 4;             // operators at work at the same time
  base::Millis pause{400};              // mean pause of an operator between two orders
  double onceOnly = 0.1;                // chance that an order is sent once and not pursued
  double resendOld = 0.1;               // chance that an order of earlier is sent once more instead of a new one
  std::size_t resendWithin = SIZE_MAX;  // how many of the newest orders are sent once more
  double describe = 0.25;               // chance that the configuration is read instead
  std::size_t documentPadding = 0;      // bytes by which documents are enlarged
};

class Operators {
 public:
  Operators(World& world, OperatorOptions options);

  // Each operator sends one order after the other until told to stop.
  void start();
  void stop() { working_ = false; }
  // Whether nothing is under way.
  bool idle() const { return open_ == 0; }
  OperatorOptions& options() { return options_; }
  // A change each `every`, `count` times, whether or not the one before was answered.
  void storm(std::size_t count, base::Millis every);
  // Two changes that build on the same version, sent to two daemons.
  void pair();
  // Sends one change until it is answered; `done` is told the status.
  void change(std::function<void(int)> done = {});
  // Reads the configuration until it comes.
  void read(std::function<void()> done = {});
  // Called when a change has just been acknowledged.
  std::function<void()> onAcknowledged;

  // The newest acknowledged revision, and the newest that was acknowledged at or before `at`.
  std::uint64_t newestAcknowledged() const { return acknowledged_.empty() ? 0 : acknowledged_.rbegin()->first; }
  std::uint64_t acknowledgedBy(base::TimePoint at) const;
  // When the oldest order that is still pursued was sent.
  std::optional<base::TimePoint> oldestOpen() const;
  std::size_t sent() const { return orders_.size(); }
  std::size_t acknowledged() const { return acknowledged_.size(); }

 private:
  struct SentOrder {
    control::OrderKind kind = control::OrderKind::Replace;
    std::uint64_t base = 0, revision = 0, marker = 0;
    std::string body;
    bool acknowledged = false, refused = false;
  };
  struct Attempt {
    std::size_t order = 0;
    base::TimePoint sentAt;
    std::uint64_t newestInForce = 0;  // when it was first sent
    std::uint64_t newestKnown = 0;    // newest revision acknowledged or read when it was first sent
    std::size_t tries = 0, redirects = 0;
    bool once = false;
    std::function<void(int)> done;
  };

  void work(std::size_t number);
  std::size_t place(std::uint64_t base);
  void pursue(std::size_t order, bool once, std::function<void(int)> done);
  void send(std::size_t at, Attempt attempt);
  void retry(Attempt attempt, const control::Answer& answer);
  void onAnswer(const Attempt& attempt, const control::Answer& answer);
  void handleAcknowledged(const Attempt& attempt);
  void onRefused(const Attempt& attempt, int status);
  void onDocument(const Attempt& attempt, const control::Answer& answer);
  void noteInForce(std::size_t node, const schema::ControlState& state);
  std::size_t anyControlNode();
  bool chance(double probability);
  std::string documentOf(std::uint64_t revision, std::uint64_t marker) const;
  bool matches(const SentOrder& order, const std::string& document) const;
  std::string text(const SentOrder& order) const;

  World& world_;
  OperatorOptions options_;
  std::vector<SentOrder> orders_;
  std::map<std::uint64_t, std::size_t> inForce_;             // revision -> order
  std::map<std::uint64_t, base::TimePoint> acknowledged_;    // revision -> when
  std::map<std::uint64_t, std::size_t> acknowledgedOnBase_;  // base -> order
  std::multiset<base::TimePoint> openSince_;
  std::uint64_t current_ = 0;  // newest revision that any operator was told
  std::uint64_t highest_ = 0;  // highest revision ever sent
  std::size_t open_ = 0;
  bool working_ = false;
};

}  // namespace indigohill::sim
