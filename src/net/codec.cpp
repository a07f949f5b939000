#include "net/codec.hpp"

#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/crc.hpp>
#include <cstring>
#include <optional>
#include <sstream>

namespace indigohill::net {

namespace {

constexpr auto kFlags = boost::archive::no_header | boost::archive::no_codecvt | boost::archive::no_tracking;

template <class T>
std::string pack(const T& value) {
  std::stringbuf buffer(std::ios::out | std::ios::binary);
  {
    boost::archive::binary_oarchive archive(buffer, kFlags);
    archive << value;
  }
  return std::move(buffer).str();
}

template <class T>
base::Result<T> unpack(std::string_view bytes) {
  try {
    std::stringbuf buffer(std::string(bytes), std::ios::in | std::ios::binary);
    boost::archive::binary_iarchive archive(buffer, kFlags);
    T value{};
    archive >> value;
    return value;
  } catch (const std::exception& error) {
    return base::Error{base::ErrorCode::Corrupt, error.what()};
  }
}

namespace zlib = boost::beast::zlib;

// The length of the plain archive, then the deflated one; empty if that saves nothing.
std::string deflated(const std::string& body) {
  const auto length = static_cast<std::uint32_t>(body.size());
  std::string out(reinterpret_cast<const char*>(&length), sizeof length);
  out.resize(body.size());
  zlib::deflate_stream stream;
  zlib::z_params at;
  at.next_in = body.data();
  at.avail_in = body.size();
  at.next_out = out.data() + sizeof length;
  at.avail_out = out.size() - sizeof length;
  boost::system::error_code error;
  stream.write(at, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream) return {};
  out.resize(sizeof length + at.total_out);
  return out;
}

// The plain archive, or nothing if the bytes are no deflated message.
std::optional<std::string> inflated(std::string_view bytes) {
  std::uint32_t length = 0;
  if (bytes.size() < sizeof length) return std::nullopt;
  std::memcpy(&length, bytes.data(), sizeof length);
  if (length > kMaxMessageBytes) return std::nullopt;
  std::string out(length + 1, '\0');  // room to see more than there should be
  zlib::inflate_stream stream;
  zlib::z_params at;
  at.next_in = bytes.data() + sizeof length;
  at.avail_in = bytes.size() - sizeof length;
  at.next_out = out.data();
  at.avail_out = out.size();
  boost::system::error_code error;
  stream.write(at, zlib::Flush::sync, error);
  // Whatever the end of the stream is called: the checksum was right, so it is whole if the length is.
  if (at.total_out != length) return std::nullopt;
  out.resize(length);
  return out;
}

std::string sealed(std::uint8_t version, std::uint8_t kind, const std::string& body) {
  std::string out;
  out.reserve(body.size() + 6);
  out.push_back(static_cast<char>(version));
  out.push_back(static_cast<char>(kind));
  const auto sum = checksum(body);
  out.append(reinterpret_cast<const char*>(&sum), sizeof sum);
  return out += body;
}

std::string sealedMessage(std::uint8_t kind, const std::string& body, bool mayShrink = true) {
  if (mayShrink && body.size() >= kDeflateFrom)
    if (const auto shorter = deflated(body); !shorter.empty()) return sealed(kDeflatedVersion, kind, shorter);
  return sealed(kWireVersion, kind, body);
}

struct Opened {
  std::uint8_t version, kind;
  std::string_view body;
};
base::Result<Opened> unsealed(std::string_view bytes) {
  const auto wrong = [](const char* what) { return base::Error{base::ErrorCode::Corrupt, what}; };
  if (bytes.size() < 6) return wrong("cut short");
  if (bytes.size() > kMaxMessageBytes) return wrong("too large");
  std::uint32_t sum = 0;
  std::memcpy(&sum, bytes.data() + 2, sizeof sum);
  const auto body = bytes.substr(6);
  if (sum != checksum(body)) return wrong("checksum differs");
  return Opened{static_cast<std::uint8_t>(bytes[0]), static_cast<std::uint8_t>(bytes[1]), body};
}

// The same of a message; a deflated body is inflated into `plain`, which must outlive the result.
base::Result<Opened> unsealedMessage(std::string_view bytes, std::string& plain) {
  auto opened = unsealed(bytes);
  if (const auto* bad = base::errorIn(opened)) return *bad;
  auto& message = std::get<0>(opened);
  if (message.version == kDeflatedVersion) {
    auto whole = inflated(message.body);
    if (!whole) return base::Error{base::ErrorCode::Corrupt, "cannot be inflated"};
    message.body = plain = std::move(*whole);
  } else if (message.version != kWireVersion) {
    return base::Error{base::ErrorCode::Unsupported, "of another version"};
  }
  return opened;
}

// Numbers that no message has, for what is kept on disk. 200 to 202 had another layout: a record with a single backup,
// a state with the digests of orders as text, and votes on that record.
constexpr std::uint8_t kState = 206, kRecord = 203, kVote = 204, kContent = 205, kStateWithDuties = 207;

template <class T>
base::Result<T> unpackKind(std::uint8_t kind, std::string_view bytes) {
  auto opened = unsealed(bytes);
  if (const auto* bad = base::errorIn(opened)) return *bad;
  const auto& found = std::get<0>(opened);
  if (found.version != kDiskVersion) return base::Error{base::ErrorCode::Unsupported, "of another version"};
  if (found.kind != kind) return base::Error{base::ErrorCode::Unsupported, "of another kind"};
  return unpack<T>(found.body);
}

}  // namespace

std::uint32_t checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string encode(const schema::Message& message) {
#define INDIGOHILL_ENCODE(number, name)                       \
  if (const auto* held = std::get_if<schema::name>(&message)) \
    return sealedMessage(number, pack(*held), !std::is_same_v<schema::name, schema::Update>);
  INDIGOHILL_MESSAGES(INDIGOHILL_ENCODE)
#undef INDIGOHILL_ENCODE
  return {};
}

base::Result<schema::Message> decode(std::string_view bytes) {
  std::string plain;
  auto opened = unsealedMessage(bytes, plain);
  if (const auto* bad = base::errorIn(opened)) return *bad;
  const auto& [version, kind, body] = std::get<0>(opened);
  switch (kind) {
#define INDIGOHILL_DECODE(number, name)                     \
  case number: {                                            \
    auto read = unpack<schema::name>(body);                 \
    if (const auto* bad = base::errorIn(read)) return *bad; \
    return schema::Message(std::move(std::get<0>(read)));   \
  }
    INDIGOHILL_MESSAGES(INDIGOHILL_DECODE)
#undef INDIGOHILL_DECODE
    default:
      return base::Error{base::ErrorCode::Unsupported, "of an unknown kind"};
  }
}

std::string encodeUpdateContent(const schema::UpdateContent& content) { return sealedMessage(kContent, pack(content)); }
base::Result<schema::UpdateContent> decodeUpdateContent(std::string_view bytes) {
  std::string plain;
  auto opened = unsealedMessage(bytes, plain);
  if (const auto* bad = base::errorIn(opened)) return *bad;
  if (std::get<0>(opened).kind != kContent) return base::Error{base::ErrorCode::Unsupported, "of another kind"};
  return unpack<schema::UpdateContent>(std::get<0>(opened).body);
}
std::string encodeRecord(const schema::EpochRecord& record) { return sealed(kDiskVersion, kRecord, pack(record)); }
std::string encodeControlState(const schema::ControlState& state) { return sealed(kDiskVersion, kState, pack(state)); }
std::string encodeVote(const schema::Vote& vote) { return sealed(kDiskVersion, kVote, pack(vote)); }
base::Result<schema::EpochRecord> decodeRecord(std::string_view bytes) {
  return unpackKind<schema::EpochRecord>(kRecord, bytes);
}
base::Result<schema::Vote> decodeVote(std::string_view bytes) { return unpackKind<schema::Vote>(kVote, bytes); }
base::Result<schema::ControlState> decodeControlState(std::string_view bytes) {
  auto decoded = decodeReplicatedState(bytes);
  if (const auto* bad = base::errorIn(decoded)) return *bad;
  return std::get<0>(std::move(decoded)).control;
}

std::string encodeReplicatedState(const schema::ReplicatedState& state) {
  if (state.duties.sequence == 0) return encodeControlState(state.control);
  return sealed(kDiskVersion, kStateWithDuties, pack(state));
}

base::Result<schema::ReplicatedState> decodeReplicatedState(std::string_view bytes) {
  auto withDuties = unpackKind<schema::ReplicatedState>(kStateWithDuties, bytes);
  if (base::errorIn(withDuties) == nullptr) return withDuties;
  auto control = unpackKind<schema::ControlState>(kState, bytes);
  if (const auto* bad = base::errorIn(control)) return *bad;
  return schema::ReplicatedState{std::get<0>(std::move(control)), {}};
}

}  // namespace indigohill::net
