#pragma once
#include <fmt/format.h>

#include <string>
#include <vector>

#include "rollout/record.hpp"
#include "schema/messages.hpp"
#include "text.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

// Records of a rollout, runners of several versions, and comparisons, for the tests of rollouts.
namespace indigohill::tests {

// Two snapshots, old and new, and the way from one to the other.
inline std::string record(std::uint64_t number, const std::string& service = "plain") {
  return fmt::format(
      R"({{"service":"{}","number":{},"snapshots":{{"old":{{"revision":"v1","models":[{{"name":"m","revision":1,"adapters":["law"]}}]}},)"
      R"("new":{{"revision":"v2","models":[{{"name":"m","revision":2,"adapters":["law"]}}]}}}},)"
      R"("stages":[{{"name":"before","serve":["old"]}},{{"name":"both","serve":["old","new"]}},{{"name":"after","serve":["new"]}}]}})",
      service, number);
}
inline std::string to(std::uint64_t number, const std::string& more = "") {
  return fmt::format(R"({{"number":{}{}}})", number, more);
}

inline schema::RunnerEntry runner(const std::string& id, const std::string& revision = "v1", std::uint64_t weights = 1,
                                  std::vector<std::string> adapters = {"law"}, const std::string& service = "plain") {
  return {id, service, "z0", 0x0a000001, 80, 6, false, 0, revision, {{"m", weights, std::move(adapters)}}};
}

inline rollout::InForce inForce(std::size_t stage = 0, const std::string& document = record(1)) {
  return *rollout::read({"plain", 1, static_cast<std::uint32_t>(stage), document});
}
inline std::string why(const rollout::InForce& r, const schema::RunnerEntry& entry) {
  return r.heldBack(rollout::snapshotOf(entry));
}

inline void same(const std::string& is, const std::string& wanted) {
  cr_assert(is == wanted, "is: %s\nwanted: %s", is.c_str(), wanted.c_str());
}

}  // namespace indigohill::tests
