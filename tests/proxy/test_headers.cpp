// Headers of requests and responses.
#include "proxy/headers.hpp"

#include "proxy/prompt.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;

Test(pass, heads_for_runners_keep_what_is_end_to_end) {
  http::Request in(http::wire::verb::post, "/a/b?c", 11);
  in.set("Host", "a.example");
  in.set("Connection", "close, X-Hop");
  in.set("X-Hop", "1");
  in.set("Keep-Alive", "timeout=5");
  in.set("Transfer-Encoding", "chunked");
  in.set("X-Own", "kept");
  in.set("Indigohill-Attempt-Id", "abc");
  in.set("Indigohill-Target-Instance", "forged");
  in.body() = "body";
  const auto out = proxy::forRunner(in, {"i-7", Millis(1200), "9"});
  cr_assert(out["X-Own"] == "kept" && out["Indigohill-Attempt-Id"] == "abc" && out["Host"] == "a.example");
  cr_assert(out.count("X-Hop") == 0 && out.count("Keep-Alive") == 0 && out.count("Transfer-Encoding") == 0);
  cr_assert(out["Indigohill-Target-Instance"] == "i-7" && out.count("Indigohill-Target-Instance") == 1);
  cr_assert(out["Indigohill-Time-Remaining"] == "1200" && out["Last-Event-Id"] == "9");
  cr_assert(out["Content-Length"] == "4" && std::string(out.body().data(), out.body().size()) == "body" &&
            out.target() == "/a/b?c");
}

Test(pass, no_runner_gets_a_key_and_the_router_alone_names_the_tenant) {
  http::Request in(http::wire::verb::get, "/a", 11);
  in.insert("Api-Key", "k1");
  in.insert("api-key", "k2");
  in.insert("Indigohill-Tenant", "forged");
  in.insert("INDIGOHILL-TENANT", "forged");
  cr_assert_eq(proxy::valuesOf(in, proxy::kApiKey).size(), 2);
  const auto without = proxy::forRunner(in, {"i-7", Millis(1)});
  cr_assert(without.count("Api-Key") == 0 && without.count("Indigohill-Tenant") == 0);
  const auto with = proxy::forRunner(in, {"i-7", Millis(1), "", {}, "clinic"});
  cr_assert(with.count("Api-Key") == 0 && with.count("Indigohill-Tenant") == 1 &&
            with["Indigohill-Tenant"] == "clinic");
}

Test(pass, prompts_are_read) {
  const auto parts = proxy::parsePrompt("5c1e07a2:800, 91bd3f06:410,zz:3,e4402b7d:250");
  cr_assert_eq(parts.size(), 3u);
  cr_assert_eq(parts[0].id, 0x5c1e07a2u);
  cr_assert_eq(parts[1].tokens, 410u);
}
