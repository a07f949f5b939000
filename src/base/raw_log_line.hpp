#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

// Lines of the log from a process that is ending: its heap may be exhausted or corrupt, and the thread that ends may
// hold any lock.
namespace indigohill::base {

// One JSON line on standard output, put together without heap and locks; async-signal-safe. What does not fit is left
// out, and the line stays a JSON object.
class RawLogLine {
 public:
  // Node and role of the lines to come; a longer name is cut off. Not async-signal-safe.
  static void setSource(std::string_view node, std::string_view role);

  explicit RawLogLine(std::string_view event);
  RawLogLine& with(std::string_view field, std::string_view text);
  RawLogLine& with(std::string_view field, std::uint64_t number);
  // Addresses as hexadecimal text.
  RawLogLine& withAddresses(std::string_view field, const std::uintptr_t* addresses, std::size_t count);
  void write();

 private:
  static constexpr std::size_t kCapacity = 1024;
  static constexpr std::size_t kEndLength = 2;  // of "}\n"

  bool hasRoom(std::size_t length) const { return size_ + length + kEndLength <= kCapacity; }
  void append(std::string_view text);
  void appendQuoted(std::string_view text);
  void appendName(std::string_view field);
  void appendNumber(std::uint64_t number, unsigned base);

  std::array<char, kCapacity> text_{};
  std::size_t size_ = 0;
};

}  // namespace indigohill::base
