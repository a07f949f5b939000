// Lines that need neither heap nor locks.
#include "base/raw_log_line.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <functional>
#include <string>
#include <vector>
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;

namespace {

// The line as it comes out of standard output.
boost::json::object lineOf(const std::function<void(base::RawLogLine&)>& fill) {
  std::array<int, 2> ends{};
  cr_assert_eq(::pipe(ends.data()), 0);
  const int before = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  base::RawLogLine line("ended");
  fill(line);
  line.write();
  ::dup2(before, STDOUT_FILENO);
  ::close(before);
  ::close(ends[1]);
  std::array<char, 4096> text{};
  const auto size = ::read(ends[0], text.data(), text.size());
  ::close(ends[0]);
  cr_assert_gt(size, 0);
  return boost::json::parse({text.data(), static_cast<std::size_t>(size)}).as_object();
}

}  // namespace

Test(raw_log_line, fields_are_json) {
  base::RawLogLine::setSource("n1", "router");
  const std::vector<std::uintptr_t> places{0x1f, 0};
  const auto line = lineOf([&](base::RawLogLine& out) {
    out.with("text", "a \"b\"\n\\").with("number", ~std::uint64_t{0}).withAddresses("places", places.data(), 2);
  });
  cr_assert(line.at("node") == "n1" && line.at("role") == "router" && line.at("event") == "ended");
  cr_assert(line.at("text") == "a ?b???");
  cr_assert(line.at("number") == ~std::uint64_t{0});
  cr_assert(line.at("places") == boost::json::array({"0x1f", "0x0"}));
}

Test(raw_log_line, what_does_not_fit_is_left_out_and_the_line_stays_json) {
  base::RawLogLine::setSource(std::string(500, 'n'), std::string(500, 'r'));
  const std::string text(5000, 't');
  const std::vector<std::uintptr_t> places(100, ~std::uintptr_t{0});
  const auto line = lineOf([&](base::RawLogLine& out) {
    for (int i = 0; i < 100; ++i) out.with("text" + std::to_string(i), text).with("number", 1);
    out.withAddresses("places", places.data(), places.size());
  });
  cr_assert(line.at("text0").as_string().size() < text.size());
  cr_assert(!line.contains("text99"));
}
