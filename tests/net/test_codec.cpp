// Messages as bytes.
#include "net/codec.hpp"

#include <fmt/format.h>

#include <random>

// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;

Test(codec, what_is_spoilt_is_dropped) {
  schema::Heartbeat hello{7, 8, 9, 10, 12, true, 11, {"a", "b"}};
  const auto bytes = net::encode(hello);
  auto back = net::decode(bytes);
  cr_assert(base::errorIn(back) == nullptr);
  cr_assert(std::get<schema::Heartbeat>(std::get<0>(back)) == hello);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    cr_assert(base::errorIn(net::decode(std::string_view(bytes).substr(0, n))) != nullptr, "cut at %zu", n);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    auto spoilt = bytes;
    spoilt[n] = static_cast<char>(spoilt[n] ^ 0x41);
    auto read = net::decode(spoilt);
    // The kind alone is not under the checksum; read as another kind the body does not fit or is another message.
    if (n != 1) cr_assert(base::errorIn(read) != nullptr, "spoilt at %zu", n);
  }
  auto other = bytes;
  other[1] = static_cast<char>(199);
  cr_assert(base::errorIn(net::decode(other)) != nullptr);
  cr_assert(base::errorIn(net::decode(std::string(net::kMaxMessageBytes + 1, '\1'))) != nullptr);
}

Test(codec, long_messages_are_deflated_and_come_back_whole) {
  std::mt19937_64 random(11);
  for (std::size_t n = 0; n < 400; n += 7) {
    schema::Commit commit;
    for (std::size_t i = 0; i < n; ++i)
      commit.result.members.push_back({fmt::format("edge-{}/router", i), "", "zone-1", 1, static_cast<std::uint32_t>(i),
                                       7000, random(), 1048576 + i});
    const auto bytes = net::encode(commit);
    const auto back = net::decode(bytes);
    cr_assert(base::errorIn(back) == nullptr && std::get<schema::Commit>(std::get<0>(back)) == commit, "%zu members",
              n);
    if (n > 50) cr_assert_lt(bytes.size(), 25 * n, "%zu bytes", bytes.size());
    auto spoilt = bytes;
    spoilt[spoilt.size() / 2] = static_cast<char>(spoilt[spoilt.size() / 2] ^ 0x41);
    cr_assert(base::errorIn(net::decode(spoilt)) != nullptr);
  }
}
