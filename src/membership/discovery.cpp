#include "membership/discovery.hpp"

#include <algorithm>

#include "base/lists.hpp"
#include "membership/view.hpp"

namespace indigohill::membership {

namespace {

constexpr std::size_t kMaxContacts = 16;
constexpr std::size_t kDepartedAtOnce = 4;
// In suspicion time-outs.
constexpr int kContactKeptFor = 2;
constexpr int kDepartedKeptFor = 30;

}  // namespace

std::vector<settings::Endpoint> Discovery::contacts() const {
  std::vector<settings::Endpoint> out;
  const auto add = [&](const settings::Endpoint& address) {
    if (address != self_ && !base::contains(out, address)) out.push_back(address);
  };
  for (const auto& [address, contact] : contacts_) add(address);
  for (const auto& address : seeds_) add(address);
  for (const auto& address : lastControllers_) add(address);
  return out;
}

void Discovery::remember(const schema::Contacts& contacts, bool announced, base::TimePoint now) {
  for (const auto& member : contacts.members) {
    const settings::Endpoint address{member.ip, member.port};
    if (address == self_ || (contacts_.size() >= kMaxContacts && !contacts_.contains(address))) continue;
    auto& contact = contacts_[address];
    contact.receivedAt = now;
    contact.announced |= announced;
  }
}

schema::Contacts Discovery::announcedTo(const settings::Endpoint& to) const {
  schema::Contacts out;
  for (const auto& [address, contact] : contacts_)
    if (contact.announced && address != to) out.members.push_back({address.ip, address.port});
  return out;
}

void Discovery::expire(base::TimePoint now) {
  std::erase_if(contacts_,
                [&](const auto& entry) { return now - entry.second.receivedAt > kContactKeptFor * suspicionTimeout_; });
}

void Discovery::install(const schema::View* before, const schema::View& next, base::TimePoint now) {
  if (before != nullptr) {
    for (const auto& member : before->members)
      if (!hasMember(next, member.incarnation)) departedAt_[addressOf(member)] = now;
    for (const auto& member : next.members) departedAt_.erase(addressOf(member));
  }
  lastControllers_.clear();
  for (const auto& member : next.members)
    if (isController(member)) lastControllers_.push_back(addressOf(member));
}

std::vector<settings::Endpoint> Discovery::missingDaemons(const schema::View& view, base::TimePoint now) {
  std::vector<settings::Endpoint> out;
  for (const auto& seed : seeds_) {
    const bool present = std::any_of(view.members.begin(), view.members.end(),
                                     [&](const auto& member) { return addressOf(member) == seed; });
    if (!present && seed != self_) out.push_back(seed);
  }
  std::erase_if(departedAt_,
                [&](const auto& entry) { return now - entry.second > kDepartedKeptFor * suspicionTimeout_; });
  auto next = departedAt_.upper_bound(lastDepartedAnnounced_);
  for (std::size_t i = 0; i < std::min(kDepartedAtOnce, departedAt_.size()); ++i) {
    if (next == departedAt_.end()) next = departedAt_.begin();
    lastDepartedAnnounced_ = next->first;
    if (!base::contains(out, next->first)) out.push_back(next->first);
    ++next;
  }
  return out;
}

}  // namespace indigohill::membership
