#include "base/raw_log_line.hpp"

#include <unistd.h>

#include <algorithm>

namespace indigohill::base {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxTextLength = 256;
constexpr std::size_t kMaxFieldLength = 64;  // a field's name and a number
constexpr unsigned kDecimal = 10, kHexadecimal = 16;

// A text of a fixed size, readable at any moment.
struct Name {
  std::array<char, kMaxNameLength> text{};
  std::size_t size = 0;

  void set(std::string_view name) {
    size = std::min(name.size(), text.size());
    std::copy_n(name.begin(), size, text.begin());
  }
  std::string_view view() const { return {text.data(), size}; }
};

Name sourceNode, sourceRole;

bool isPlain(char character) {
  return static_cast<unsigned char>(character) >= ' ' && character != '"' && character != '\\';
}

}  // namespace

void RawLogLine::setSource(std::string_view node, std::string_view role) {
  sourceNode.set(node);
  sourceRole.set(role);
}

RawLogLine::RawLogLine(std::string_view event) {
  append(R"({"level":"critical","node":)");
  appendQuoted(sourceNode.view());
  append(R"(,"role":)");
  appendQuoted(sourceRole.view());
  append(R"(,"event":)");
  appendQuoted(event);
}

RawLogLine& RawLogLine::with(std::string_view field, std::string_view text) {
  text = text.substr(0, kMaxTextLength);
  if (!hasRoom(kMaxFieldLength + text.size())) return *this;
  appendName(field);
  appendQuoted(text);
  return *this;
}

RawLogLine& RawLogLine::with(std::string_view field, std::uint64_t number) {
  if (!hasRoom(kMaxFieldLength)) return *this;
  appendName(field);
  appendNumber(number, kDecimal);
  return *this;
}

RawLogLine& RawLogLine::withAddresses(std::string_view field, const std::uintptr_t* addresses, std::size_t count) {
  if (!hasRoom(kMaxFieldLength)) return *this;
  appendName(field);
  append("[");
  for (std::size_t i = 0; i < count && hasRoom(kMaxFieldLength); ++i) {
    append(i == 0 ? "\"0x" : ",\"0x");
    appendNumber(addresses[i], kHexadecimal);
    append("\"");
  }
  append("]");
  return *this;
}

void RawLogLine::write() {
  append("}\n");
  [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, text_.data(), size_);
}

void RawLogLine::append(std::string_view text) {
  const auto length = std::min(text.size(), text_.size() - size_);
  std::copy_n(text.begin(), length, text_.begin() + static_cast<std::ptrdiff_t>(size_));
  size_ += length;
}

// Characters that JSON would have escaped become question marks.
void RawLogLine::appendQuoted(std::string_view text) {
  append("\"");
  for (const char character : text) append(isPlain(character) ? std::string_view(&character, 1) : "?");
  append("\"");
}

void RawLogLine::appendName(std::string_view field) {
  append(",");
  appendQuoted(field);
  append(":");
}

void RawLogLine::appendNumber(std::uint64_t number, unsigned base) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<char, 20> digits{};
  std::size_t first = digits.size();
  do {
    digits.at(--first) = kDigits[number % base];
    number /= base;
  } while (number != 0);
  append({&digits.at(first), digits.size() - first});
}

}  // namespace indigohill::base
