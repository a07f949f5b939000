#include "sim/duty_platform.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/range/adaptor/reversed.hpp>
#include <set>

namespace indigohill::sim {

namespace json = boost::json;

std::optional<duties::CallOutcome> DutyPlatform::receive(const duties::PlatformCall& call, base::TimePoint now) {
  if (down) return std::nullopt;
  auto& history = histories_[call.subject];
  judgeFence(call, history);
  judgeOrder(call, history, now);
  if (call.path == "/usage")
    takeUsage(call);
  else
    takeScaling(call);
  return duties::CallOutcome::Accepted;
}

void DutyPlatform::judgeFence(const duties::PlatformCall& call, SubjectHistory& history) {
  const auto subject = fmt::format("{} {}", lease::nameOf(call.subject.duty), call.subject.name);
  if (call.fence < history.newestFence)
    broken(fmt::format("{}: fence {} comes after fence {}", subject, call.fence, history.newestFence));
  history.newestFence = std::max(history.newestFence, call.fence);
  const auto [known, isNew] = history.holderOfFence.emplace(call.fence, call.holder);
  if (!isNew && known->second != call.holder)
    broken(fmt::format("{}: fence {} is sent by {} and {}", subject, call.fence, known->second, call.holder));
}

// Within the span no holder acts before and after another one.
void DutyPlatform::judgeOrder(const duties::PlatformCall& call, SubjectHistory& history, base::TimePoint now) {
  auto& acted = history.acted;
  while (!acted.empty() && now - acted.front().at > forbidden_) acted.pop_front();
  bool otherSince = false;
  for (const auto& before : boost::adaptors::reverse(acted)) {
    if (before.holder == call.holder && otherSince)
      broken(fmt::format("{} acts again within {} ms after another holder did", call.holder, forbidden_.count()));
    otherSince = otherSince || before.holder != call.holder;
  }
  acted.push_back({now, call.holder});
}

void DutyPlatform::takeUsage(const duties::PlatformCall& call) {
  const auto body = json::parse(call.body).as_object();
  const auto window = body.at("windowId").to_number<std::uint64_t>();
  std::map<std::string, std::uint64_t> counts;
  for (const auto& [tenant, count] : body.at("counts").as_object())
    counts[std::string(tenant)] = count.to_number<std::uint64_t>();
  const auto [known, isNew] = usage_.emplace(window, counts);
  if (!isNew && known->second != counts) broken(fmt::format("two reports of window {} differ", window));
}

void DutyPlatform::takeScaling(const duties::PlatformCall& call) {
  const auto body = json::parse(call.body).as_object();
  ordered_[call.subject.name] = body.at("desiredCount").to_number<std::uint32_t>();
}

const std::map<std::string, std::uint64_t>* DutyPlatform::usageOf(std::uint64_t window) const {
  const auto found = usage_.find(window);
  return found == usage_.end() ? nullptr : &found->second;
}

std::optional<std::uint32_t> DutyPlatform::ordered(const std::string& subject) const {
  const auto found = ordered_.find(subject);
  return found == ordered_.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t DutyPlatform::newestFence(const lease::Subject& subject) const {
  const auto found = histories_.find(subject);
  return found == histories_.end() ? 0 : found->second.newestFence;
}

std::size_t DutyPlatform::holders(const lease::Subject& subject) const {
  const auto found = histories_.find(subject);
  if (found == histories_.end()) return 0;
  std::set<std::string> names;
  for (const auto& [fence, holder] : found->second.holderOfFence) names.insert(holder);
  return names.size();
}

}  // namespace indigohill::sim
