#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

namespace indigohill::net {

// A message on its way: state machines fill boxes of these, the link (or the simulator) empties them.
struct Outgoing {
  settings::Endpoint to;
  schema::Message message;
};
using Outbox = std::vector<Outgoing>;

// What lies on disk keeps its version; of messages there are plain ones and those whose archive is deflated.
constexpr std::uint8_t kDiskVersion = 1, kWireVersion = 2, kDeflatedVersion = 3;
// From here on deflating pays: views and lists of runners shrink to a fifth, which fits a datagram.
constexpr std::size_t kDeflateFrom = 600;
constexpr std::size_t kMaxMessageBytes = 16u << 20;

// version, number of the message, checksum of the rest, then the Boost.Serialization archive, deflated if it is long.
// The checksum is looked at before the rest is: a spoilt length must not make the reader reserve memory for it.
std::string encode(const schema::Message& message);
base::Result<schema::Message> decode(std::string_view bytes);

// Parts of messages are kept on disk in the same encoding.
std::string encodeRecord(const schema::EpochRecord& record);
std::string encodeControlState(const schema::ControlState& state);
std::string encodeVote(const schema::Vote& vote);
base::Result<schema::EpochRecord> decodeRecord(std::string_view bytes);
base::Result<schema::ControlState> decodeControlState(std::string_view bytes);
base::Result<schema::Vote> decodeVote(std::string_view bytes);

// All that a replica keeps of the state: the form of a control state alone as long as there is no duty state, so that
// programs without duties can read it. Either decoder reads either form; one without duties has an empty duty state.
std::string encodeReplicatedState(const schema::ReplicatedState& state);
base::Result<schema::ReplicatedState> decodeReplicatedState(std::string_view bytes);

// What is new is the same for many askers, so it is encoded and deflated once and travels within their messages.
std::string encodeUpdateContent(const schema::UpdateContent& content);
base::Result<schema::UpdateContent> decodeUpdateContent(std::string_view bytes);

std::uint32_t checksum(std::string_view bytes);

}  // namespace indigohill::net
