#include "routing/authentication.hpp"

#include <random>

#include "base/constant_time.hpp"
#include "base/hash.hpp"

namespace indigohill::routing {

namespace {

std::uint64_t drawSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

}  // namespace

TenantKeys::TenantKeys(const std::vector<control::Tenant>& tenants) : seed_(drawSeed()) {
  for (const auto& tenant : tenants)
    for (const auto& key : tenant.apiKeys) byHash_.emplace(base::hash(key, seed_), Entry{key, &tenant});
}

const control::Tenant* TenantKeys::find(std::string_view key) const {
  const auto [begin, end] = byHash_.equal_range(base::hash(key, seed_));
  for (auto it = begin; it != end; ++it)
    if (base::equalInConstantTime(it->second.key, key)) return it->second.tenant;
  return nullptr;
}

std::optional<Caller> authenticate(const TenantKeys* keys, const control::Route& route,
                                   const std::vector<std::string_view>& borne) {
  Caller caller{{}, route.priority};
  if (keys == nullptr) return caller;
  const auto* tenant = borne.size() == 1 ? keys->find(borne.front()) : nullptr;
  if (tenant == nullptr) return route.isPublic ? std::optional(caller) : std::nullopt;
  caller.tenant = tenant->name;
  caller.priority = tenant->priority.value_or(route.priority);
  return caller;
}

}  // namespace indigohill::routing
