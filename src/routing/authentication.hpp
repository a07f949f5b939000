#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "control/configuration.hpp"

// Who may have a request carried: the tenant whose key it bears.
namespace indigohill::routing {

// The keys of all tenants. A look-up takes the same time whatever the number of tenants and keys. Immutable and
// thread-safe. It refers to the tenants that it is made of, which must outlive it.
class TenantKeys {
 public:
  explicit TenantKeys(const std::vector<control::Tenant>& tenants);
  // The tenant that holds the key; null if none does.
  const control::Tenant* find(std::string_view key) const;

 private:
  struct Entry {
    std::string_view key;
    const control::Tenant* tenant;
  };
  std::uint64_t seed_;                                    // so that nobody can choose keys whose hashes meet
  std::unordered_multimap<std::uint64_t, Entry> byHash_;  // of the key
};

// On whose behalf a request is carried, and with what urgency.
struct Caller {
  std::string tenant;          // empty: none is known
  std::uint32_t priority = 0;  // 0 is the most urgent
};

// The caller of a request that bears these values of Api-Key. Nothing if the request must be answered 401: its route is
// not public and it bears no key, more than one, or one that no tenant holds. `keys` is null where requests need none.
std::optional<Caller> authenticate(const TenantKeys* keys, const control::Route& route,
                                   const std::vector<std::string_view>& borne);

}  // namespace indigohill::routing
