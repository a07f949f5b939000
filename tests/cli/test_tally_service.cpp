// Calls about tallies at a controller with a disk, from HTTP to the log and back.
#include "cli/tally_service.hpp"

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <random>

// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using control::Call;

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

// A replica alone, as in a part that is cut off, with its log in a folder that is removed at the end.
class ServiceAlone {
 public:
  ServiceAlone()
      : folder_(std::filesystem::temp_directory_path() / ("tallies-" + std::to_string(std::random_device{}()))) {
    start();
  }
  ~ServiceAlone() {
    service_.reset();
    std::filesystem::remove_all(folder_);
  }
  ServiceAlone(const ServiceAlone&) = delete;
  ServiceAlone& operator=(const ServiceAlone&) = delete;

  void restart() {
    service_.reset();
    start();
  }
  cli::TallyService& service() { return *service_; }

  http::Response add(const std::string& tally, const std::string& body) {
    return call({Call::Kind::UpdateTally, {}, tally}, body);
  }
  http::Response describe(const std::string& tally) { return call({Call::Kind::DescribeTally, {}, tally}, ""); }

 private:
  void start() {
    tally::Options options;
    options.times.settling = base::Millis(0);
    service_ = std::make_unique<cli::TallyService>(io_.get_executor(), link_,
                                                   store::AppendLog(folder_.string(), "tallies"), true, options, 7);
    while (!service_->replica().hasCaughtUp() || service_->replica().ledger().versions().empty()) {
      service_->tick({{}, {}, true});
      io_.restart();
      io_.run_one_for(base::Millis(10));
    }
  }
  http::Response call(const Call& call, const std::string& body) {
    http::Request request(http::wire::verb::post, "/", 11);
    request.body() = body;
    std::optional<http::Response> out;
    http::asio::co_spawn(
        io_, [&]() -> http::asio::awaitable<void> { out = co_await service_->carryOut(call, request); },
        http::asio::detached);
    io_.restart();
    while (!out) io_.run_one();
    return *out;
  }

  std::filesystem::path folder_;
  http::asio::io_context io_;
  net::Link link_{io_.get_executor(), {kLoopback, 0}, 16, [](const schema::Message&, const settings::Endpoint&) {}};
  std::unique_ptr<cli::TallyService> service_;
};

}  // namespace

Test(tally_service, adds_count_once_and_are_there_after_a_restart) {
  ServiceAlone alone;
  cr_assert_eq(alone.describe("t3").body(), R"({"total":0})");
  for (int i = 0; i < 2; ++i) cr_assert_eq(alone.add("t3", R"({"instanceId":"a","actor":4})").result_int(), 200u);
  cr_assert_eq(alone.add("t3", R"({"instanceId":"b","actor":3})").result_int(), 200u);
  cr_assert_eq(alone.describe("t3").body(), R"({"total":7})");
  alone.restart();
  cr_assert_eq(alone.describe("t3").body(), R"({"total":7})");
  cr_assert_eq(alone.add("t3", R"({"instanceId":"a","actor":4})").result_int(), 200u);
  cr_assert_eq(alone.describe("t3").body(), R"({"total":7})");
}

Test(tally_service, bad_input_names_the_field_and_a_process_that_ends_takes_no_adds) {
  ServiceAlone alone;
  const auto bad = alone.add("t", R"({"instanceId":"a"})");
  cr_assert(bad.result_int() == 400 && bad.body().starts_with("actor"));
  cr_assert_eq(alone.describe(std::string(200, 'x')).result_int(), 400u);
  alone.service().shutDown();
  const auto late = alone.add("t", R"({"instanceId":"a","actor":1})");
  cr_assert(late.result_int() == 503 && late.count("Retry-After") == 1);
  cr_assert_eq(alone.describe("t").body(), R"({"total":0})");
}
