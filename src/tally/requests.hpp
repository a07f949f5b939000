#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "schema/messages.hpp"

// The calls about tallies, as their bodies have them.
namespace indigohill::tally {

constexpr std::size_t kMaxNameBytes = 128;  // of a tally, and of an add's id
// Of one add: sums stay within 64 bits for 16 million of them.
constexpr std::uint64_t kMaxAmount = std::uint64_t{1} << 40;

// Whether a tally may have this name: of some length, of printable characters.
bool isName(std::string_view text);

// `{"instanceId":"...","actor":4}`. An error names the field. `actor` is a whole number from 0 to `kMaxAmount`.
base::Result<schema::TallyAdd> parseAdd(const std::string& tally, std::string_view body);

// `{"total":1873}`
std::string formatTotal(std::uint64_t total);

}  // namespace indigohill::tally
