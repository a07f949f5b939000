#pragma once
#include <map>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

// How daemons find the group and the group finds them: the addresses that each knows.
//
// A daemon without a view asks all addresses that it knows to be taken in. It may know none that is of any use: seeds
// may be in no view themselves, and the voters may be elsewhere. So the voters announce themselves to seeds that are
// not in the view and to members that have failed of late, and a daemon without a view passes on to those that ask it
// what was announced to it.
namespace indigohill::membership {

class Discovery {
 public:
  Discovery(settings::Endpoint self, std::vector<settings::Endpoint> seeds, base::Millis suspicionTimeout)
      : self_(self), seeds_(std::move(seeds)), suspicionTimeout_(suspicionTimeout) {}

  void setSeeds(std::vector<settings::Endpoint> seeds) { seeds_ = std::move(seeds); }

  // Every address at which the group may be found, but the own one: members that were announced, seeds, and the
  // controllers of the last view.
  std::vector<settings::Endpoint> contacts() const;
  // Remembers the addresses of members of a view. `announced`: by a member itself, not passed on by another daemon.
  void remember(const schema::Contacts& contacts, bool announced, base::TimePoint now);
  // What a daemon without a view passes on to `to`: only what was announced here. Contacts that went from one to the
  // next for ever would outlive the daemons they name. Empty when there is nothing.
  schema::Contacts announcedTo(const settings::Endpoint& to) const;
  void expire(base::TimePoint now);

  // Another view is installed; `before` is the one that it follows, if there was one. A daemon that restarts, or is
  // reachable again, learns where the group is although all of its seeds may be gone, so the addresses of failed
  // members are kept for a while.
  void install(const schema::View* before, const schema::View& next, base::TimePoint now);
  // To whom the voters announce themselves now: the seeds that are not in the view, and some of the members that have
  // failed of late. Those are taken in turn, a few at a time, so that the loss of many machines makes no burst.
  std::vector<settings::Endpoint> missingDaemons(const schema::View& view, base::TimePoint now);

 private:
  struct Contact {
    base::TimePoint receivedAt;
    bool announced = false;
  };

  settings::Endpoint self_;
  std::vector<settings::Endpoint> seeds_;
  base::Millis suspicionTimeout_;
  std::vector<settings::Endpoint> lastControllers_;  // of the last view
  std::map<settings::Endpoint, Contact> contacts_;
  std::map<settings::Endpoint, base::TimePoint> departedAt_;  // members that have failed
  settings::Endpoint lastDepartedAnnounced_;
};

}  // namespace indigohill::membership
