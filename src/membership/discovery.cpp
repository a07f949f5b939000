// How daemons find the group and the group finds them.
//
// A daemon without a view asks all addresses that it knows to be taken in. It may know none that is of any use: seeds
// may be in no view themselves, and the voters may be elsewhere. So the voters announce themselves to seeds that are
// not in the view, and a daemon without a view passes on to those that ask it what was announced to it. A daemon that
// has a view but has long been without a lease asks as well, since all that it watches may have gone.
#include <algorithm>

#include "base/lists.hpp"
#include "membership/group.hpp"

namespace indigohill::membership {

namespace {
constexpr std::size_t kMostContacts = 16;
}  // namespace

bool Group::isVoter() const { return view_ && !self_.voterId.empty() && base::contains(view_->voters, self_.voterId); }

std::vector<settings::Endpoint> Group::contacts() const {
  std::vector<settings::Endpoint> out;
  const auto add = [&](const settings::Endpoint& address) {
    if (address != self_.address && !base::contains(out, address)) out.push_back(address);
  };
  for (const auto& [address, contact] : contacts_) add(address);
  for (const auto& address : seeds_) add(address);
  for (const auto& address : lastKnown_) add(address);
  return out;
}

std::vector<settings::Endpoint> Group::missingSeeds() const {
  std::vector<settings::Endpoint> out;
  for (const auto& seed : seeds_) {
    const bool present = std::any_of(view_->members.begin(), view_->members.end(),
                                     [&](const auto& member) { return addressOf(member) == seed; });
    if (!present && seed != self_.address) out.push_back(seed);
  }
  return out;
}

// Without a lease this daemon may itself be the one that is to be found.
void Group::announce(base::TimePoint now, net::Outbox& out) {
  if (leavingSelf_ || !isVoter() || !leaseHeld(now) || now - announcedAt_ < times_.hello) return;
  announcedAt_ = now;
  schema::Contacts contacts;
  contacts.view = view_->number;
  for (const auto& member : view_->members)
    if (base::contains(view_->voters, member.voterId)) contacts.members.push_back({member.ip, member.port});
  for (const auto& seed : missingSeeds()) out.push_back({seed, contacts});
}

// Only what was announced here: contacts that went from one to the next for ever would outlive the daemons they name.
void Group::passContactsOn(const settings::Endpoint& to, net::Outbox& out) const {
  schema::Contacts passedOn;
  for (const auto& [address, contact] : contacts_)
    if (contact.announcedItself && address != to) passedOn.members.push_back({address.ip, address.port});
  if (!passedOn.members.empty()) out.push_back({to, passedOn});
}

void Group::rememberContact(const settings::Endpoint& address, bool announcedItself, base::TimePoint now) {
  if (address == self_.address || (contacts_.size() >= kMostContacts && !contacts_.contains(address))) return;
  auto& contact = contacts_[address];
  contact.heardAt = now;
  contact.announcedItself |= announcedItself;
}

// Shows the number of the own view to a daemon that is not in it. If that daemon holds a lease and this one is not in
// its view, it says so; if this one has missed a view, it is told that view.
void Group::showView(const settings::Endpoint& to, base::TimePoint now, net::Outbox& out) const {
  out.push_back({to, schema::Heartbeat{incarnation_, view_->number, base::toMs(now), 0, false, 0, {}}});
}

void Group::on(const schema::Contacts& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  const bool announcement = m.view != 0;
  if (!view_) {
    for (const auto& member : m.members) rememberContact({member.ip, member.port}, announcement, now);
    return;
  }
  if (leaseHeld(now)) return;
  std::set<settings::Endpoint> targets;
  if (announcement) targets.insert(from);
  for (const auto& member : m.members) targets.insert({member.ip, member.port});
  targets.erase(self_.address);
  for (const auto& to : targets) showView(to, now, out);
}

// Everybody whom this daemon watches may have gone while it was cut off, and nobody else will speak to it.
void Group::seekGroup(base::TimePoint now, net::Outbox& out) {
  const auto inTouchAt = std::max(leaseUntil_, installedAt_);
  if (now - inTouchAt < times_.suspect || now - soughtAt_ < times_.suspect) return;
  soughtAt_ = now;
  for (const auto& address : contacts()) showView(address, now, out);
}

void Group::sendJoin(base::TimePoint now, net::Outbox& out) {
  joinAt_ = now;
  if (leavingSelf_) return;
  schema::Join join;
  join.member.id = self_.id;
  join.member.voterId = self_.voterId;
  join.member.zone = self_.zone;
  join.member.role = static_cast<std::uint8_t>(self_.role);
  join.member.ip = self_.address.ip;
  join.member.port = self_.address.port;
  join.member.bootId = bootId_;
  join.floor = floor_;
  join.epoch = knownEpoch_;
  join.voters = knownVoters_;
  const auto known = contacts();
  std::set<settings::Endpoint> targets(known.begin(), known.end());
  // Those that ask to join are answered with the same: one of them may be the founder and know nobody else's address.
  // Routers found nothing, so they need not hear of others that have no view either.
  for (const auto& [id, joiner] : joiners_)
    if (joiner.member.role == static_cast<std::uint8_t>(Role::Controller)) targets.insert(addressOf(joiner.member));
  for (const auto& to : targets) out.push_back({to, join});
  // Its own word counts when the group is founded.
  joiners_[self_.id] = {join.member, now, floor_};
}

void Group::on(const schema::Join& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if (view_) {
    for (const auto& known : view_->members)
      if (known.id == m.member.id && known.bootId == m.member.bootId) {
        // Taken in already; it has missed the commit.
        sendView(addressOf(known), out);
        return;
      }
    if (m.member.id == self_.id) return;
    if (!manages()) {
      // Passed on to the manager, as the joiner cannot know who that is.
      for (const auto& known : view_->members)
        if (!suspected_.contains(known.incarnation) && !leaving_.contains(known.incarnation)) {
          if (!joiners_.contains(m.member.id) || joiners_[m.member.id].heardAt != now)
            out.push_back({addressOf(known), m});
          break;
        }
    }
  }
  if (!view_ && from == addressOf(m.member)) passContactsOn(from, out);
  // Taken in with the next tick: many come at once when machines return together.
  joiners_[m.member.id] = {m.member, now, m.floor};
  // Of those that found the group anew some may have missed the newest record, and would wait for voters of an older.
  if (!view_ && m.epoch > knownEpoch_) setVoters(m.epoch, m.voters);
  // Voters that are no seeds know nobody but the seeds, and one of them may have to be the founder: what comes from
  // such a daemon itself is passed on to the others.
  if (!view_ && !m.member.voterId.empty() && from == addressOf(m.member))
    for (const auto& [id, joiner] : joiners_)
      if (id != m.member.id && id != self_.id && !joiner.member.voterId.empty())
        out.push_back({addressOf(joiner.member), m});
}

}  // namespace indigohill::membership
