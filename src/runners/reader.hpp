#pragma once
#include "http/client.hpp"
#include "runners/list.hpp"

namespace indigohill::runners {

// Reads the platform's whole list, page by page, over a kept connection.
class Reader {
 public:
  Reader(http::asio::any_io_executor executor, settings::Endpoint platform) : client_(std::move(executor), platform) {}

  http::asio::awaitable<base::Result<std::vector<schema::RunnerEntry>>> read(base::Millis limit) {
    std::vector<schema::RunnerEntry> all;
    std::string token;
    // Bounded: a platform that never ends its pages must not hold the duty for ever.
    for (std::size_t page = 0; page < 200; ++page) {
      http::Request request(http::wire::verb::get, token.empty() ? "/instances" : "/instances?pageToken=" + token, 11);
      auto called = co_await client_.call(std::move(request), limit);
      if (const auto* bad = base::errorIn(called)) co_return *bad;
      const auto& response = std::get<0>(called);
      if (response.result_int() != 200)
        co_return base::Error{base::ErrorCode::Unavailable,
                              "the platform answers " + std::to_string(response.result_int())};
      auto parsed = parsePage(response.body());
      if (const auto* bad = base::errorIn(parsed)) co_return *bad;
      auto& part = std::get<Page>(parsed);
      std::move(part.runners.begin(), part.runners.end(), std::back_inserter(all));
      token = part.nextPageToken;
      pages_ = page + 1;
      if (token.empty()) co_return all;
    }
    co_return base::Error{base::ErrorCode::Unavailable, "the list of runners does not end"};
  }

  // How many calls the last reading took.
  std::size_t pages() const { return pages_; }

 private:
  std::size_t pages_ = 1;
  http::Client client_;
};

}  // namespace indigohill::runners
