#include "base/process_end.hpp"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <stdexcept>
#include <string>

#include "base/log.hpp"
#include "base/task_failure.hpp"
// Criterion's macros get in the way of other headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;

namespace {

struct End {
  std::string output;
  int status = 0;  // as from waitpid
};

// What a process leaves on its standard output, and how it ends.
End endOf(const std::function<void()>& course) {
  std::array<int, 2> ends{};
  cr_assert_eq(::pipe(ends.data()), 0);
  const auto child = ::fork();
  if (child == 0) {
    ::dup2(ends[1], STDOUT_FILENO);
    base::openLog("n1", "router", "info");
    base::logAbnormalEnd("n1", "router");
    course();
    ::_exit(0);
  }
  ::close(ends[1]);
  End out;
  std::array<char, 4096> part{};
  for (ssize_t bytes = 0; (bytes = ::read(ends[0], part.data(), part.size())) > 0;)
    out.output.append(part.data(), static_cast<std::size_t>(bytes));
  ::close(ends[0]);
  ::waitpid(child, &out.status, 0);
  return out;
}

boost::asio::awaitable<void> failLater() {
  co_await boost::asio::post(co_await boost::asio::this_coro::executor, boost::asio::use_awaitable);
  throw std::bad_alloc();
}

bool has(const End& end, const char* text) { return end.output.find(text) != std::string::npos; }

}  // namespace

Test(process_end, an_exception_that_nobody_catches_is_logged) {
  const auto end = endOf([]() noexcept { throw std::runtime_error("out of luck"); });
  cr_assert(has(end, R"("event":"process_terminated","error":"out of luck")"), "%s", end.output.c_str());
  cr_assert(WIFSIGNALED(end.status) && WTERMSIG(end.status) == SIGABRT);
}

Test(process_end, an_exception_is_logged_although_there_is_no_memory_left) {
  const auto end = endOf([]() noexcept {
    const rlimit none{0, 0};
    ::setrlimit(RLIMIT_AS, &none);
    while (std::malloc(16) != nullptr) {
    }
    throw std::bad_alloc();
  });
  cr_assert(has(end, R"("event":"process_terminated","error":"std::bad_alloc")"), "%s", end.output.c_str());
  cr_assert(WIFSIGNALED(end.status) && WTERMSIG(end.status) == SIGABRT);
}

Test(process_end, a_fault_of_the_processor_is_logged_and_ends_the_process_as_before) {
  for (const auto number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    const auto end = endOf([number] { std::raise(number); });
    const auto wanted = R"("node":"n1","role":"router","event":"fatal_signal","signal":)" + std::to_string(number);
    cr_assert(has(end, (wanted + (number == SIGABRT ? "}" : ",\"address\":")).c_str()), "%s", end.output.c_str());
    cr_assert(has(end, R"("event":"stack_trace","frames":["0x)"), "%s", end.output.c_str());
    cr_assert(WIFSIGNALED(end.status) && WTERMSIG(end.status) == number);
  }
}

Test(process_end, an_exception_that_ends_a_task_is_logged) {
  const auto end = endOf([] {
    base::LogTaskFailure("reader")(std::make_exception_ptr(std::bad_alloc()));
    base::LogTaskFailure("reader")(nullptr);
  });
  cr_assert(has(end, R"("event":"task_failed","task":"reader","error":"std::bad_alloc")"), "%s", end.output.c_str());
  cr_assert_eq(end.status, 0);
}

Test(process_end, a_task_that_a_daemon_cannot_do_without_ends_it) {
  const auto end = endOf([] {
    boost::asio::io_context io;
    boost::asio::co_spawn(io, failLater(), base::EndOnTaskFailure("tick"));
    try {
      io.run();
    } catch (const std::bad_alloc&) {
      base::logError(base::LogEvent("event_loop_left"));
    }
  });
  cr_assert(has(end, R"("event":"task_failed","task":"tick")"), "%s", end.output.c_str());
  cr_assert(has(end, "event_loop_left"), "%s", end.output.c_str());
  base::EndOnTaskFailure("tick")(nullptr);
}
