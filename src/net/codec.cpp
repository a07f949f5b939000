#include "net/codec.hpp"

#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/crc.hpp>
#include <cstring>
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
    return base::Fault{base::Verdict::NotRun, error.what()};
  }
}

std::string sealed(std::uint8_t kind, const std::string& body) {
  std::string out;
  out.reserve(body.size() + 6);
  out.push_back(static_cast<char>(kWireVersion));
  out.push_back(static_cast<char>(kind));
  const auto sum = checksum(body);
  out.append(reinterpret_cast<const char*>(&sum), sizeof sum);
  return out += body;
}

base::Result<std::pair<std::uint8_t, std::string_view>> unsealed(std::string_view bytes) {
  const auto wrong = [](const char* what) { return base::Fault{base::Verdict::NotRun, what}; };
  if (bytes.size() < 6) return wrong("cut short");
  if (bytes.size() > kMaxMessageBytes) return wrong("too large");
  if (static_cast<std::uint8_t>(bytes[0]) != kWireVersion) return wrong("of another version");
  std::uint32_t sum = 0;
  std::memcpy(&sum, bytes.data() + 2, sizeof sum);
  const auto body = bytes.substr(6);
  if (sum != checksum(body)) return wrong("checksum differs");
  return std::pair{static_cast<std::uint8_t>(bytes[1]), body};
}

// Numbers that no message has, for what is kept on disk. 200 and 202 were a record with a single backup and votes on it.
constexpr std::uint8_t kFrame = 201, kRecord = 203, kVote = 204;

template <class T>
base::Result<T> unpackKind(std::uint8_t kind, std::string_view bytes) {
  auto opened = unsealed(bytes);
  if (const auto* bad = base::fault(opened)) return *bad;
  const auto [found, body] = std::get<0>(opened);
  if (found != kind) return base::Fault{base::Verdict::NotRun, "of another kind"};
  return unpack<T>(body);
}

}  // namespace

std::uint32_t checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string encode(const schema::Message& message) {
#define INDIGOHILL_ENCODE(number, name) \
  if (const auto* m = std::get_if<schema::name>(&message)) return sealed(number, pack(*m));
  INDIGOHILL_MESSAGES(INDIGOHILL_ENCODE)
#undef INDIGOHILL_ENCODE
  return {};
}

base::Result<schema::Message> decode(std::string_view bytes) {
  auto opened = unsealed(bytes);
  if (const auto* bad = base::fault(opened)) return *bad;
  const auto [kind, body] = std::get<0>(opened);
  switch (kind) {
#define INDIGOHILL_DECODE(number, name)                         \
  case number: {                                                \
    auto read = unpack<schema::name>(body);                     \
    if (const auto* bad = base::fault(read)) return *bad;       \
    return schema::Message(std::move(std::get<0>(read)));       \
  }
    INDIGOHILL_MESSAGES(INDIGOHILL_DECODE)
#undef INDIGOHILL_DECODE
    default:
      return base::Fault{base::Verdict::NotRun, "of an unknown kind"};
  }
}

std::string encodeRecord(const schema::EpochRecord& record) { return sealed(kRecord, pack(record)); }
std::string encodeFrame(const schema::Frame& frame) { return sealed(kFrame, pack(frame)); }
std::string encodeVote(const schema::Vote& vote) { return sealed(kVote, pack(vote)); }
base::Result<schema::EpochRecord> decodeRecord(std::string_view bytes) {
  return unpackKind<schema::EpochRecord>(kRecord, bytes);
}
base::Result<schema::Vote> decodeVote(std::string_view bytes) { return unpackKind<schema::Vote>(kVote, bytes); }
base::Result<schema::Frame> decodeFrame(std::string_view bytes) { return unpackKind<schema::Frame>(kFrame, bytes); }

}  // namespace indigohill::net
