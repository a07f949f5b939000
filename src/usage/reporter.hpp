#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "net/codec.hpp"
#include "settings/settings.hpp"

// A router's side of usage reporting: what it counted goes to the holder of the usage lease soon after it was counted,
// so that little is lost with the router. Sent are the totals that the holder has not acknowledged; a message that
// comes twice or late changes nothing. Another holder gets everything that has not been delivered to the platform.
namespace indigohill::usage {

class Reporter {
 public:
  struct Times {
    base::Millis interval{250};      // between two messages with counts
    base::Millis resend{750};        // without an acknowledgement for so long the message goes by a controller
    std::uint64_t windowsKept = 24;  // older ones are dropped, delivered or not
  };
  // The attempt at the usage lease that counts are sent to.
  struct Holder {
    settings::Endpoint address;
    std::uint64_t attempt = 0;
    bool operator==(const Holder&) const = default;
  };
  // What this router knows at the moment of a tick.
  struct Present {
    std::uint64_t window = 0;  // the window that lasts
    std::int64_t unixMs = 0;
    std::optional<Holder> holder;
    std::vector<settings::Endpoint> relays;  // controllers that can pass a message on
  };

  // `daemon`: a number of this life of the daemon alone.
  Reporter(std::uint64_t daemon, settings::Endpoint self, Times times) : daemon_(daemon), self_(self), times_(times) {}

  // Counts to be added to the totals.
  void add(const std::vector<schema::UsageEntry>& counts);
  // Requests of services, to be sent along.
  void setLoads(std::vector<schema::ServiceLoad> loads);
  void tick(const Present& present, base::TimePoint now, net::Outbox& out);
  // True if the message is an acknowledgement that this router waits for.
  bool receive(const schema::UsageAck& ack, base::TimePoint now);

  std::size_t windows() const { return totals_.size(); }

 private:
  struct Total {
    std::uint64_t counted = 0, acknowledged = 0;
  };
  struct SentMessage {
    std::uint64_t sequence = 0, completeThrough = 0;
    std::vector<schema::UsageEntry> entries;
  };

  void forget(std::uint64_t through);
  void turnTo(const std::optional<Holder>& holder);
  schema::UsageCounts build(const Present& present);

  std::uint64_t daemon_;
  settings::Endpoint self_;
  Times times_;
  std::map<std::uint64_t, std::map<std::string, Total>> totals_;  // by window and tenant
  std::vector<schema::ServiceLoad> loads_;
  std::optional<Holder> holder_;
  std::deque<SentMessage> unacknowledged_;
  std::uint64_t sequence_ = 0, delivered_ = 0;
  std::uint64_t completeThrough_ = 0;  // that the holder has acknowledged
  bool changed_ = false;               // since the last message
  std::size_t relay_ = 0;
  base::TimePoint sentAt_{}, acknowledgedAt_{};
};

}  // namespace indigohill::usage
