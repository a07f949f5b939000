#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/fingerprint.hpp"
#include "control/replica.hpp"

// What an outside observer of the control state remembers, and the invariants that are checked against it.
namespace indigohill::model {

enum class OrderKind : std::uint8_t { Update, Evacuate, EndEvacuation };

class History {
 public:
  struct OrderEntry {
    OrderKind kind = OrderKind::Update;
    bool issued = false, acknowledged = false, refused = false, inForce = false;
    std::uint64_t baseVersion = 0, revision = 0;
    std::uint64_t holders = 0;  // identities, one bit each, that have had its effect on disk
  };
  // An order or a read that the operator waits for.
  struct Call {
    std::uint64_t id = 0;
    bool read = false;
    std::uint8_t order = 0, machine = 0;
    bool satisfied = false;                // its effect was in force at some time since it was issued
    std::uint64_t revisionWhenIssued = 0;  // that was in force
  };

  explicit History(const std::vector<OrderKind>& kinds = {}, std::size_t copies = 0);

  // The operator's side. `issue` gives the order to be sent.
  control::Order issue(std::uint8_t order, std::uint8_t machine);
  control::Order read(std::uint8_t machine);
  void answered(const control::Answer& answer);
  void machineGone(std::uint8_t machine);  // its open calls get no answer

  // What happens at a machine.
  void adopted(const schema::EpochRecord& record);
  void published(const schema::ControlState& state);
  void onDisk(std::uint64_t identityBit, const schema::ControlState& state);

  const std::vector<OrderEntry>& orders() const { return orders_; }
  bool waitsFor(std::uint8_t order) const;
  bool waitsAt(std::uint8_t order, std::uint8_t machine) const;
  const schema::EpochRecord& newestRecord() const { return newest_; }
  const schema::ControlState& inForce() const { return inForce_; }
  void addOrder(OrderKind kind) { orders_.push_back({kind}); }

  const std::optional<std::string>& violation() const { return violation_; }
  void fingerprint(base::Fingerprint& out) const;

 private:
  void fail(std::string what);
  bool effectIn(std::uint8_t order, const schema::ControlState& state) const;
  void acknowledged(std::uint8_t order, const Call& call);
  void refusedWith(std::uint8_t order, int status);

  std::size_t copies_;  // that an acknowledged order lies on
  std::vector<OrderEntry> orders_;
  std::vector<Call> calls_;
  std::uint64_t nextCall_ = 1;
  std::map<std::uint64_t, schema::EpochRecord> records_;
  schema::EpochRecord newest_;
  schema::ControlState inForce_;  // the newest that any primary has shown
  std::optional<std::string> violation_;
};

}  // namespace indigohill::model
