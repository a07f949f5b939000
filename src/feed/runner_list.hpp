#pragma once
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"

// The platform's list of runners as one daemon holds it, with its version and the changes that led to it. Updates carry
// the changes since the subscriber's version, with a digest of the complete list.
namespace indigohill::feed {

class RunnerList {
 public:
  bool isKnown() const { return known_; }
  const std::vector<schema::RunnerEntry>& runners() const { return runners_; }  // by their ids
  const schema::StateVersion& version() const { return version_; }
  // When this list was requested from the platform, or last one that was the same.
  base::TimePoint listedAt() const { return listedAt_; }
  bool isNewerThan(const schema::StateVersion& version) const { return known_ && version_ > version; }
  // The version to poll with: none when changes would be of no use here.
  schema::StateVersion versionToRequest() const { return completeWanted_ ? schema::StateVersion{} : version_; }

  // Takes a list; false when nothing has changed, as it is older than, or the same as, what is held.
  bool set(const schema::StateVersion& version, std::vector<schema::RunnerEntry> runners, base::TimePoint listedAt);
  // Takes another daemon's list, complete or as changes; false when nothing has changed. Changes of a version that is
  // not held here, or that don't give the list they should, are not taken; the complete list is requested next.
  bool apply(const schema::Update& update, const schema::UpdateContent& content, base::TimePoint listedAt);

  // Adds the changes since `base` to the content, if this daemon has held that version and they are fewer than the
  // list; else the complete list.
  void addTo(schema::UpdateContent& content, const schema::StateVersion& base) const;

 private:
  // The runners that differ between a version held earlier and the one after it.
  struct Change {
    schema::StateVersion from;
    std::vector<std::string> instanceIds;
  };

  bool known_ = false;
  schema::StateVersion version_;
  std::vector<schema::RunnerEntry> runners_;
  std::uint64_t digest_ = 0;
  base::TimePoint listedAt_{};
  std::deque<Change> changes_;
  bool completeWanted_ = false;
};

}  // namespace indigohill::feed
