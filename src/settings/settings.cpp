#include "settings/settings.hpp"

#include <boost/algorithm/string.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>
#include <type_traits>
#include <utility>

#include "base/log.hpp"

namespace indigohill::settings {

namespace {

template <class T>
bool number(const std::string& text, T& out) {
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, out);
  return error == std::errc{} && at == end;
}

std::vector<std::string> items(const std::string& text) {
  std::vector<std::string> out;
  if (!text.empty()) boost::split(out, text, boost::is_any_of(","));
  for (auto& item : out) boost::trim(item);
  return out;
}

// One reader for each type of the schema; each answers what is wrong, or nothing.
namespace read_as {
std::string text(const std::string& in, std::string& out) {
  out = in;
  return {};
}
[[maybe_unused]] std::string list(const std::string& in, std::vector<std::string>& out) {
  out = items(in);
  return {};
}
// Also with a decimal point or an exponent, as files are written that do not tell whole numbers from others.
std::string whole(const std::string& in, std::uint64_t& out) {
  if (number(in, out)) return {};
  constexpr double kMost = 1ULL << 53;  // up to here a double tells whole numbers apart
  double value = 0;
  if (!number(in, value) || value < 0 || value > kMost || value != std::floor(value)) return "a whole number is wanted";
  out = static_cast<std::uint64_t>(value);
  return {};
}
std::string fraction(const std::string& in, double& out) {
  return number(in, out) && out >= 0 ? "" : "a number of 0 or more is wanted";
}
std::string flag(const std::string& in, bool& out) {
  out = in == "true";
  return in == "true" || in == "false" ? "" : "true or false is wanted";
}
std::string span(const std::string& in, std::chrono::milliseconds& out, double unitMs) {
  double value = 0;
  if (!number(in, value) || value < 0 || value > 1e9) return "a span of 0 or more is wanted";
  out = std::chrono::milliseconds(static_cast<std::int64_t>(value * unitMs));
  return {};
}
std::string millis(const std::string& in, std::chrono::milliseconds& out) { return span(in, out, 1); }
std::string seconds(const std::string& in, std::chrono::milliseconds& out) { return span(in, out, 1000); }
std::string endpoint(const std::string& in, Endpoint& out) {
  if (in.empty()) return {};
  auto parsed = parseEndpoint(in);
  if (const auto* bad = base::errorIn(parsed)) return bad->message;
  out = std::get<Endpoint>(parsed);
  return {};
}
std::string endpoints(const std::string& in, std::vector<Endpoint>& out) {
  for (const auto& item : items(in)) {
    Endpoint one;
    if (auto wrong = endpoint(item, one); !wrong.empty()) return wrong;
    out.push_back(one);
  }
  return {};
}
std::string ports(const std::string& in, Ports& out) {
  const auto parts = items(in);
  if (parts.size() != 2 || !number(parts[0], out.first) || !number(parts[1], out.last) || out.first == 0 ||
      out.last <= out.first)
    return "two ports, first and last, are wanted";
  return {};
}
}  // namespace read_as

}  // namespace

std::string text(const Endpoint& endpoint) {
  return fmt::format("{}.{}.{}.{}:{}", endpoint.ip >> 24, (endpoint.ip >> 16) & 255, (endpoint.ip >> 8) & 255,
                     endpoint.ip & 255, endpoint.port);
}

base::Result<Endpoint> parseEndpoint(const std::string& text) {
  const auto wrong =
      base::Error{base::ErrorCode::InvalidInput, "an address like 10.0.0.1:8080 is wanted, not '" + text + "'"};
  const auto colon = text.find(':');
  if (colon == std::string::npos) return wrong;
  Endpoint out;
  if (!number(text.substr(colon + 1), out.port) || out.port == 0) return wrong;
  std::vector<std::string> parts;
  const auto host = text.substr(0, colon);
  boost::split(parts, host, boost::is_any_of("."));
  if (parts.size() != 4) return wrong;
  for (const auto& part : parts) {
    std::uint8_t byte = 0;
    if (!number(part, byte)) return wrong;
    out.ip = out.ip << 8 | byte;
  }
  return out;
}

namespace {

using Tree = boost::property_tree::ptree;

base::Result<Tree> parseTree(const std::string& source) {
  Tree tree;
  try {
    std::istringstream in(source);
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return base::Error{base::ErrorCode::InvalidInput, fmt::format("line {}: {}", error.line(), error.message())};
  }
  return tree;
}

// What a field that was not readable is taken for, by its type.
template <class T>
constexpr bool kHasSubstitute = std::is_arithmetic_v<T> || std::is_same_v<T, std::chrono::milliseconds>;

// Reads the fields of one file.
class FieldReader {
 public:
  // With `unreadable`, fields that cannot be read and have a substitute are named there and keep their value.
  explicit FieldReader(const Tree& tree, std::vector<std::string>* unreadable = nullptr)
      : tree_(tree), unreadable_(unreadable) {}

  // One field; what is wrong with it, or nothing. Field names hold dots, so the tree is asked with another separator.
  template <class Reader, class T>
  std::string read(const char* path, Reader reader, bool required, const char* fallback, const char* purpose,
                   T& out) const {
    const auto given = tree_.get_optional<std::string>(Tree::path_type(path, '\x1f'));
    const bool there = given && !given->empty();
    if (required && !there) return std::string(path) + ": missing (" + purpose + ")";
    T value{};
    auto wrong = reader(there ? *given : std::string(fallback), value);
    if (wrong.empty()) {
      out = std::move(value);
      return {};
    }
    wrong.insert(0, std::string(path) + ": ");
    return kHasSubstitute<T> && substituted(wrong) ? "" : wrong;
  }
  // Whether what is wrong with some fields may be passed over; it is named then.
  bool substituted(const std::string& wrong) const {
    if (unreadable_ != nullptr) unreadable_->push_back(wrong);
    return unreadable_ != nullptr;
  }

 private:
  const Tree& tree_;
  std::vector<std::string>* unreadable_;
};

#define INDIGOHILL_READ(type, member, path, field, required, fallback, purpose)                                \
  if (auto wrong = reader.read(path, read_as::field, required, fallback, purpose, out.member); !wrong.empty()) \
    return wrong;

std::string readPolicy(const FieldReader& reader, Policy& out) {
  INDIGOHILL_POLICY(INDIGOHILL_READ)
  if (out.blockTokens < 1) return "policy.blockTokens: 1 or more is wanted";
  if (out.candidates < 2) return "policy.candidates: 2 or more is wanted";
  if (out.sharedMultiplier > 1) return "policy.sharedMultiplier: 0 to 1 is wanted";
  return {};
}

// The policy's fields are checked together, and kept together where one is not good.
std::string readPolicyOf(const FieldReader& reader, Settings& out) {
  Policy policy = out.policy;
  auto wrong = readPolicy(reader, policy);
  if (wrong.empty()) out.policy = policy;
  return wrong.empty() || reader.substituted(wrong) ? "" : wrong;
}

std::string readLogLevel(const FieldReader& reader, const std::string& previous, Settings& out) {
  if (base::isLogLevel(out.logLevel)) return {};
  std::string wrong = "logLevel: debug, info, warn or error is wanted";
  if (!reader.substituted(wrong)) return wrong;
  out.logLevel = previous;
  return {};
}

std::string readSettings(const FieldReader& reader, Settings& out) {
  const auto previousLogLevel = out.logLevel;
  INDIGOHILL_SETTINGS(INDIGOHILL_READ)
  if (auto wrong = readPolicyOf(reader, out); !wrong.empty()) return wrong;
  if (auto own = parseEndpoint(out.ipAddress + ":1"); base::errorIn(own))
    return "ipAddress: an IPv4 address is wanted, not '" + out.ipAddress + "'";
  return readLogLevel(reader, previousLogLevel, out);
}
#undef INDIGOHILL_READ

base::Result<std::string> readFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) return base::Error{base::ErrorCode::InvalidInput, path + ": cannot be read"};
  std::ostringstream all;
  all << in.rdbuf();
  return all.str();
}

}  // namespace

base::Result<Policy> parsePolicy(const std::string& source) {
  auto tree = parseTree(source);
  if (const auto* bad = base::errorIn(tree)) return *bad;
  Policy out;
  if (auto wrong = readPolicy(FieldReader(std::get<Tree>(tree)), out); !wrong.empty())
    return base::Error{base::ErrorCode::InvalidInput, wrong};
  return out;
}

Policy defaultPolicy() { return std::get<Policy>(parsePolicy("")); }

base::Result<Settings> parse(const std::string& source) {
  auto tree = parseTree(source);
  if (const auto* bad = base::errorIn(tree)) return *bad;
  Settings out;
  if (auto wrong = readSettings(FieldReader(std::get<Tree>(tree)), out); !wrong.empty())
    return base::Error{base::ErrorCode::InvalidInput, wrong};
  return out;
}

base::Result<TolerantSettings> parseTolerantly(const std::string& source, const Settings& previous) {
  auto tree = parseTree(source);
  if (const auto* bad = base::errorIn(tree)) return *bad;
  TolerantSettings out{previous, {}};
  if (auto wrong = readSettings(FieldReader(std::get<Tree>(tree), &out.unreadable), out.settings); !wrong.empty())
    return base::Error{base::ErrorCode::InvalidInput, wrong};
  return out;
}

Settings defaultSettings() {
  return std::get<Settings>(parse("nodeName=-\nipAddress=0.0.0.0\nzone=-\ninternalPortRange=1,2\n"));
}

base::Result<Settings> read(const std::string& path) {
  auto source = readFile(path);
  if (const auto* bad = base::errorIn(source)) return *bad;
  return parse(std::get<std::string>(source));
}

base::Result<TolerantSettings> readTolerantly(const std::string& path, const Settings& previous) {
  auto source = readFile(path);
  if (const auto* bad = base::errorIn(source)) return *bad;
  return parseTolerantly(std::get<std::string>(source), previous);
}

std::string missingFor(const Settings& settings, const std::string& role) {
  if (settings.address.port == 0) return "cloudApi.address: missing (the platform's list of runners)";
  if (role == "router") {
    if (settings.frontend.port == 0) return "bindAddresses.frontend: missing (where clients connect)";
    if (settings.readiness.port == 0) return "bindAddresses.readiness: missing (where readiness is asked)";
  } else {
    if (settings.controlPlane.port == 0) return "bindAddresses.controlPlane: missing (where operators call)";
  }
  return {};
}

std::uint16_t peerPort(const Settings& settings, bool controller) {
  return static_cast<std::uint16_t>(settings.internalPortRange.first + (controller ? 1 : 0));
}

}  // namespace indigohill::settings
