#include "http/memory_budget.hpp"

#include <boost/asio/io_context.hpp>
#include <list>
#include <vector>

#include "http/resource_limiter.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using http::MemoryKind;
using http::Room;

namespace {

constexpr std::uint64_t kKibibyte = 1u << 10;
constexpr std::uint64_t kBudget = 1024 * kKibibyte;
constexpr Millis kLongerThanAStall{600};

// Two listeners of a process that share its memory.
struct Process {
  boost::asio::io_context io;
  std::shared_ptr<http::MemoryBudget> memory = std::make_shared<http::MemoryBudget>(kBudget);
  http::ResourceLimiter clients{{1000, kBudget}, memory}, operators{{1000, kBudget}, memory};
  std::list<http::beast::tcp_stream> streams;
  std::list<http::ResourceLimiter::Connection> connections;
  base::TimePoint now{};

  http::ResourceLimiter::Connection& connect(const http::ResourceLimiter& listener) {
    return connections.emplace_back(listener, streams.emplace_back(io));
  }
};

}  // namespace

Test(memory_budget, everything_that_a_connection_holds_counts_together) {
  Process process;
  auto& connection = process.connect(process.clients);
  for (auto kind : {MemoryKind::Buffer, MemoryKind::Head, MemoryKind::Body, MemoryKind::Answer})
    cr_assert(connection.hold(kind, 10 * kKibibyte, process.now) == Room::Held);
  cr_assert_eq(process.memory->reserved(), 40 * kKibibyte);
  cr_assert(connection.hold(MemoryKind::Buffer, kKibibyte, process.now) == Room::Held);
  cr_assert_eq(process.memory->reserved(), 31 * kKibibyte);
  connection.release(MemoryKind::Head);
  cr_assert_eq(process.memory->reserved(), 21 * kKibibyte);
  process.connections.clear();
  cr_assert_eq(process.memory->reserved(), 0u);
}

Test(memory_budget, a_request_has_room_while_nobody_else_holds_any_and_an_answer_within_the_budget_alone) {
  Process process;
  auto& connection = process.connect(process.clients);
  cr_assert(connection.hold(MemoryKind::Answer, 2 * kBudget, process.now) == Room::None);
  cr_assert(connection.holdBody(2 * kBudget, process.now) == Room::Held);
}

Test(memory_budget, nobody_takes_more_than_half_of_what_is_left) {
  Process process;
  cr_assert(process.connect(process.clients).hold(MemoryKind::Head, kBudget / 2, process.now) == Room::Held);
  auto& second = process.connect(process.clients);
  cr_assert(second.hold(MemoryKind::Head, kBudget / 4 + 1, process.now) == Room::None);
  cr_assert(second.hold(MemoryKind::Head, kBudget / 4, process.now) == Room::Held);
}

Test(memory_budget, however_many_have_taken_large_parts_small_ones_have_room) {
  Process process;
  std::size_t held = 0;
  for (int i = 0; i < 200; ++i)
    if (process.connect(process.clients).hold(MemoryKind::Buffer, 64 * kKibibyte, process.now) == Room::Held) ++held;
  cr_assert_gt(held, 10u);
  cr_assert_leq(process.memory->reserved(), kBudget);
  cr_assert(process.connect(process.clients).hold(MemoryKind::Head, 8 * kKibibyte, process.now) == Room::Held);
}

Test(memory_budget, what_has_stalled_at_one_listener_gives_way_to_another) {
  Process process;
  auto& stalls = process.connect(process.operators);
  cr_assert(stalls.hold(MemoryKind::Buffer, kBudget - kKibibyte, process.now) == Room::Held);
  stalls.beginWait(process.now);
  auto& newcomer = process.connect(process.clients);
  cr_assert(newcomer.hold(MemoryKind::Head, kBudget / 4, process.now) == Room::None);
  process.now += kLongerThanAStall;
  cr_assert(newcomer.hold(MemoryKind::Head, kBudget / 4, process.now) == Room::Later);
  cr_assert(stalls.endWait(true));
  stalls.release(MemoryKind::Buffer);
  cr_assert(newcomer.hold(MemoryKind::Head, kBudget / 4, process.now) == Room::Held);
}

Test(memory_budget, an_answer_that_nobody_takes_gives_way_and_a_request_in_progress_does_not) {
  Process process;
  auto& inProgress = process.connect(process.clients);
  auto& unread = process.connect(process.clients);
  cr_assert(inProgress.hold(MemoryKind::Body, kBudget / 2, process.now) == Room::Held);
  cr_assert(unread.hold(MemoryKind::Answer, kBudget / 4, process.now) == Room::Held);
  unread.beginAnswer(process.now);
  unread.beginAnswerWait(process.now);
  process.now += kLongerThanAStall;
  cr_assert(process.connect(process.clients).hold(MemoryKind::Head, kBudget / 4, process.now) == Room::Later);
  cr_assert(unread.endWait(true));
  cr_assert(!inProgress.endWait(true));
}

Test(memory_budget, few_connections_await_room_at_a_time) {
  Process process;
  auto& stalls = process.connect(process.clients);
  cr_assert(stalls.hold(MemoryKind::Buffer, kBudget - kKibibyte, process.now) == Room::Held);
  stalls.beginWait(process.now);
  process.now += kLongerThanAStall;
  std::size_t awaiting = 0;
  for (int i = 0; i < 100; ++i)
    if (process.connect(process.clients).hold(MemoryKind::Head, 64 * kKibibyte, process.now) == Room::Later) ++awaiting;
  cr_assert_gt(awaiting, 0u);
  cr_assert_lt(awaiting, 50u);
}

Test(memory_budget, who_gives_up_waiting_leaves_its_place_to_others) {
  Process process;
  auto& stalls = process.connect(process.clients);
  cr_assert(stalls.hold(MemoryKind::Buffer, kBudget - kKibibyte, process.now) == Room::Held);
  stalls.beginWait(process.now);
  process.now += kLongerThanAStall;
  for (int i = 0; i < 100; ++i) {
    auto& newcomer = process.connect(process.clients);
    cr_assert(newcomer.hold(MemoryKind::Answer, 64 * kKibibyte, process.now) == Room::Later);
    newcomer.release(MemoryKind::Answer);
  }
}

Test(memory_budget, a_place_goes_to_a_newcomer_from_an_answer_only_once_it_has_stalled) {
  Process process;
  http::ResourceLimiter one({1, kBudget}, process.memory);
  cr_assert(one.admit(process.now));
  auto& answered = process.connect(one);
  answered.beginAnswer(process.now);
  answered.beginAnswerWait(process.now);
  cr_assert(!one.admit(process.now));
  cr_assert(one.admit(process.now + kLongerThanAStall));
}
