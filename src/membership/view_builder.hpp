#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/failure_detector.hpp"
#include "membership/joiner_list.hpp"
#include "schema/messages.hpp"

// Makes the next view out of what a manager knows. Pure: the inputs in, a view or a proposal out.
namespace indigohill::membership {

// The voters of an epoch record.
struct VoterSet {
  std::uint64_t epoch = 0;
  std::vector<std::string> voters;
};

// What a manager knows that is to come into the next view. The references must outlive their use.
struct KnownChanges {
  const std::string& selfId;
  std::uint64_t selfIncarnation;
  const FailureDetector& failures;
  const std::set<std::uint64_t>& leaving;  // incarnations that shut down gracefully
  const JoinerList& joiners;
  const VoterSet& voters;   // of the newest record that is known to be decided
  std::uint64_t successor;  // whom a leaving discovery leader has named; 0: nobody
  base::TimePoint now;
};

// Adds the known changes that are not yet in `view`, and gives the view its next number; nothing when there are none.
// Joins make an extension by themselves only if `joinsAlone`; otherwise they come along with any other change.
std::optional<schema::ViewChange> extend(schema::View& view, const KnownChanges& known, bool joinsAlone);

// The changes of an uncommitted extension of an older view, made to the `present` one. Its number is ahead of both.
void rebase(const schema::Propose& old, const schema::View& present, schema::Propose& proposal);

// The members of a view with which a daemon would found the group.
struct FoundingPlan {
  schema::View view;              // of controllers that ask to join; not numbered yet
  std::uint64_t watermark = 0;    // numbers up to this were used before
  std::int64_t votersBefore = 0;  // of the view, by the order in which voters found
};
FoundingPlan planFounding(const std::string& selfVoterId, std::uint64_t watermark, const VoterSet& voters,
                          const JoinerList& joiners, base::TimePoint now);
// Numbers the view and its members, far above all that were used before.
schema::Propose foundingProposal(FoundingPlan plan, const std::string& selfId);

}  // namespace indigohill::membership
