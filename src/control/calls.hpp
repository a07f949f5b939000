#pragma once
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/replica.hpp"

// The calls of operators and applications, found by a tree of matchers: method, then path, then the rest of the path as
// an argument.
namespace indigohill::control {

struct Call {
  enum class Kind { Order, Status, UpdateTally, DescribeTally } kind = Kind::Order;
  OrderKind order = OrderKind::Describe;
  std::string argument;
};

struct CallPath {
  std::string_view method, path;
};

// A matcher takes its part of what is requested and hands the rest to its children; the first child that matches wins.
class Matcher {
 public:
  using Test = std::function<bool(CallPath&)>;
  using Make = std::function<std::optional<Call>(const CallPath&)>;

  Matcher(Test test, std::vector<Matcher> children) : test_(std::move(test)), children_(std::move(children)) {}
  Matcher(Test test, Make make) : test_(std::move(test)), make_(std::move(make)) {}

  std::optional<Call> match(CallPath requested) const {
    if (!test_(requested)) return std::nullopt;
    if (make_) return make_(requested);
    for (const auto& child : children_)
      if (auto found = child.match(requested)) return found;
    return std::nullopt;
  }

 private:
  Test test_;
  Make make_;
  std::vector<Matcher> children_;
};

inline Matcher::Test method(std::string_view name) {
  return [name](CallPath& requested) { return requested.method == name; };
}
inline Matcher::Test under(std::string_view prefix) {
  return [prefix](CallPath& requested) {
    if (!requested.path.starts_with(prefix)) return false;
    requested.path.remove_prefix(prefix.size());
    return true;
  };
}
inline Matcher exactly(std::string_view name, Call call) {
  return Matcher([name](CallPath& requested) { return requested.path == name; },
                 Matcher::Make([call](const CallPath&) -> std::optional<Call> { return call; }));
}
inline Matcher named(std::string_view prefix, Call::Kind kind, OrderKind order = OrderKind::Describe) {
  return Matcher(under(prefix), Matcher::Make([kind, order](const CallPath& requested) -> std::optional<Call> {
                   if (requested.path.empty() || requested.path.find('/') != std::string_view::npos)
                     return std::nullopt;
                   return Call{kind, order, std::string(requested.path)};
                 }));
}
inline Matcher named(std::string_view prefix, OrderKind order) { return named(prefix, Call::Kind::Order, order); }

inline std::optional<Call> findCall(std::string_view httpMethod, std::string_view target) {
  static const Matcher tree(
      under("/v1/"),
      std::vector<Matcher>{
          Matcher(method("POST"),
                  std::vector<Matcher>{exactly("Configuration.Replace", {Call::Kind::Order, OrderKind::Replace, {}}),
                                       exactly("Configuration.Update", {Call::Kind::Order, OrderKind::Update, {}}),
                                       named("Evacuations.Create/", OrderKind::Evacuate),
                                       named("Evacuations.Delete/", OrderKind::EndEvacuation),
                                       named("Rollouts.Declare/", OrderKind::DeclareRollout),
                                       named("Rollouts.Advance/", OrderKind::AdvanceRollout),
                                       named("Rollouts.Withdraw/", OrderKind::WithdrawRollout),
                                       named("Tallies.Update/", Call::Kind::UpdateTally)}),
          Matcher(method("GET"), std::vector<Matcher>{
                                     exactly("Configuration.Describe", {Call::Kind::Order, OrderKind::Describe, {}}),
                                     exactly("Rollouts.Describe", {Call::Kind::Order, OrderKind::DescribeRollouts, {}}),
                                     exactly("Status", {Call::Kind::Status, {}, {}}),
                                     named("Tallies.Describe/", Call::Kind::DescribeTally)})});
  return tree.match({httpMethod, target.substr(0, target.find('?'))});
}

}  // namespace indigohill::control
