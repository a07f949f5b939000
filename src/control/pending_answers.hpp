#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "control/order.hpp"

// Answers that write nothing (reads, refusals, "already in force"), held back until a majority of the voters has
// confirmed, after the order came, that it has accepted no later epoch record. Then no later record had been decided
// when the answer was made, so the state that it rests on was the newest.
//
// Confirmations are requested in numbered rounds. A voter's confirmation of a round also counts for all answers that
// were waiting when an earlier round was sent, so one round serves every answer that was waiting when it went out.
// Rounds belong to one epoch: with the next record the orders are judged again.
namespace indigohill::control {

class PendingAnswers {
 public:
  explicit PendingAnswers(std::uint64_t firstRound) : round_(firstRound) {}

  void add(QueuedOrder order, Answer answer);
  // The number of a round that is to be sent to all voters now, if one is due: the last one is complete or was sent
  // `resend` ago, and answers are waiting for another.
  std::optional<std::uint64_t> roundDue(base::TimePoint now, base::Millis resend);
  // A voter has accepted no later record than the present one.
  void confirm(const std::string& voter, std::uint64_t round);
  // Takes out the answers that a majority of the voters has confirmed.
  std::vector<Answer> takeConfirmed(const std::vector<std::string>& voters);
  // Takes out the orders whose answers have waited since before `oldest`.
  std::vector<QueuedOrder> takeOlderThan(base::TimePoint oldest);
  // Takes out all orders in the order of their arrival; what was confirmed so far no longer counts.
  std::vector<QueuedOrder> takeAll();
  void forget(std::uint64_t call);
  std::size_t size() const { return waiting_.size(); }
  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  struct Waiting {
    QueuedOrder order;
    Answer answer;
    std::uint64_t round = 0;  // a confirmation of this round or a later one counts
  };

  std::vector<Waiting> waiting_;
  std::map<std::string, std::uint64_t> confirmed_;  // by voter: the newest round
  std::uint64_t round_;                             // the newest round that was sent
  base::TimePoint sentAt_{};
};

}  // namespace indigohill::control
