#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "schema/messages.hpp"
#include "settings/settings.hpp"

// Questions about views, and how changes are applied to them. Pure functions; pointers are into the view given.
namespace indigohill::membership {

enum class Role : std::uint8_t { Router = 1, Controller = 2 };

settings::Endpoint addressOf(const schema::Member& member);
bool isController(const schema::Member& member);
// Whether it is a controller with a disk, which may vote and keep copies.
bool hasDisk(const schema::Member& member);

// The member of that incarnation; null when there is none.
const schema::Member* findMember(const schema::View& view, std::uint64_t incarnation);
bool hasMember(const schema::View& view, std::uint64_t incarnation);
// The member of that voter id; null when there is none.
const schema::Member* findVoter(const schema::View& view, const std::string& voterId);
// The member that is this life of the daemon with that id; null when there is none.
const schema::Member* findLife(const schema::View& view, const std::string& id, std::uint64_t bootId);

// How many of the voters are members.
std::size_t countVoters(const schema::View& view, const std::vector<std::string>& voters);
// Whether more than half of the voters are members.
bool hasQuorum(const schema::View& view, const std::vector<std::string>& voters);

// Over all that a view holds: two daemons that agree on it have the same view.
std::uint64_t digestOf(const schema::View& view);
// The view that the changes make of `base`. Proposer and receiver both apply them, and the digest tells whether the
// results differ.
schema::View applyChanges(const schema::View& base, const schema::ProposeChanges& changes);

}  // namespace indigohill::membership
