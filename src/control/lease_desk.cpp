#include "control/lease_desk.hpp"

#include <algorithm>

namespace indigohill::control {

namespace {

constexpr std::uint64_t kOrderBit = 1ULL << 63;  // tells these orders from those of operators
constexpr base::Millis kForgotten{10000};

}  // namespace

Order LeaseDesk::take(const schema::LeaseRequest& request, const settings::Endpoint& from, base::TimePoint now) {
  Order order;
  order.call = kOrderBit | ++orders_;
  order.kind = OrderKind::Lease;
  order.lease = request;
  waiting_[order.call] = {from, request.call, request.replyTo, now};
  return order;
}

void LeaseDesk::sendReplies(Effects& effects) {
  std::vector<Answer> others;
  for (auto& answer : effects.answers) {
    if ((answer.call & kOrderBit) == 0) {
      others.push_back(std::move(answer));
      continue;
    }
    const auto found = waiting_.find(answer.call);
    if (found == waiting_.end()) continue;
    const auto waiting = found->second;
    waiting_.erase(found);
    auto reply = answer.status == 200 ? std::move(answer.lease) : schema::LeaseReply{};
    reply.call = waiting.call;
    reply.replyTo = waiting.replyTo;
    effects.out.push_back({waiting.from, std::move(reply)});
  }
  effects.answers = std::move(others);
}

void LeaseDesk::expire(base::TimePoint now) {
  std::erase_if(waiting_, [&](const auto& entry) { return now - entry.second.at > kForgotten; });
}

}  // namespace indigohill::control
