// The index of kept prompt parts against a plain model, and the score against the source's worked example.
#include <list>
#include <map>
#include <random>
#include <set>

#include "kvindex/index.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using kvindex::Chain;
using kvindex::Index;
using kvindex::RunnerId;
using kvindex::Tier;

namespace {

using Prompt = std::vector<std::pair<std::uint64_t, std::uint32_t>>;
constexpr std::size_t kRoomy = 64u << 20;
constexpr std::uint64_t kModel = 1;

std::vector<kvindex::Overlap> found(const Index& index, const Prompt& prompt, std::size_t most = 16,
                                    std::uint64_t model = kModel) {
  auto result = index.match(model, prompt, most);
  cr_assert(base::fault(result) == nullptr);
  return std::get<0>(std::move(result));
}

// The same by lists and sets alone: each runner's parts in the order of their use, the latest first.
struct Plain {
  struct Kept {
    std::uint64_t model;
    std::vector<std::uint64_t> path;
    std::uint32_t tokens;
    std::set<Tier> tiers;
  };
  std::map<RunnerId, std::list<Kept>> runners;
  std::map<RunnerId, std::uint64_t> capacity;
  std::map<std::pair<RunnerId, std::uint64_t>, std::uint64_t> revisions;

  static std::vector<std::uint64_t> path(const Prompt& prompt, std::size_t parts) {
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i < parts; ++i) out.push_back(prompt[i].first);
    return out;
  }
  std::list<Kept>::iterator at(RunnerId runner, std::uint64_t model, const std::vector<std::uint64_t>& path) {
    auto& kept = runners[runner];
    return std::find_if(kept.begin(), kept.end(), [&](const auto& k) { return k.model == model && k.path == path; });
  }
  std::uint64_t tokens(RunnerId runner) {
    std::uint64_t sum = 0;
    for (const auto& k : runners[runner])
      if (k.tiers.contains(Tier::Gpu)) sum += k.tokens;
    return sum;
  }
  void fit(RunnerId runner) {
    auto& kept = runners[runner];
    while (capacity[runner] != 0 && tokens(runner) > capacity[runner]) {
      const auto last = std::find_if(kept.rbegin(), kept.rend(), [](const auto& k) { return k.tiers.contains(Tier::Gpu); });
      last->tiers.erase(Tier::Gpu);
      if (last->tiers.empty()) kept.erase(std::prev(last.base()));
    }
  }
  void store(RunnerId runner, std::uint64_t model, const Prompt& prompt, Tier tier) {
    auto& kept = runners[runner];
    for (std::size_t parts = prompt.size(); parts > 0; --parts) {
      const auto p = path(prompt, parts);
      auto it = at(runner, model, p);
      if (it == kept.end()) it = kept.insert(kept.begin(), {model, p, prompt[parts - 1].second, {}});
      it->tiers.insert(tier);
      kept.splice(kept.begin(), kept, it);
    }
    fit(runner);
  }
  void remove(RunnerId runner, std::uint64_t model, const Prompt& prompt, Tier tier) {
    const auto it = at(runner, model, path(prompt, prompt.size()));
    if (it == runners[runner].end()) return;
    it->tiers.erase(tier);
    if (it->tiers.empty()) runners[runner].erase(it);
  }
  void move(RunnerId runner, std::uint64_t model, const Prompt& prompt, Tier from, Tier to) {
    const auto it = at(runner, model, path(prompt, prompt.size()));
    if (it == runners[runner].end() || !it->tiers.contains(from)) return;
    it->tiers.insert(to);
    it->tiers.erase(from);
    fit(runner);
  }
  void revise(RunnerId runner, std::uint64_t model, std::uint64_t revision) {
    const auto [known, first] = revisions.emplace(std::pair(runner, model), revision);
    if (first || std::exchange(known->second, revision) == revision) return;
    std::erase_if(runners[runner], [&](const auto& k) { return k.model == model; });
  }
  void clear(RunnerId runner) {
    runners.erase(runner);
    std::erase_if(revisions, [&](const auto& r) { return r.first.first == runner; });
  }
  kvindex::Overlap overlap(RunnerId runner, std::uint64_t model, const Prompt& prompt) {
    kvindex::Overlap out{runner};
    for (std::size_t parts = 1; parts <= prompt.size(); ++parts) {
      const auto it = at(runner, model, path(prompt, parts));
      if (it == runners[runner].end()) break;
      ++out.parts;
      out.tokens += it->tokens;
      out.tier = *it->tiers.begin();
    }
    return out;
  }
};

Prompt randomPrompt(std::mt19937_64& random) {
  Prompt out;
  const auto parts = 1 + random() % 4;
  for (std::size_t i = 0; i < parts; ++i) {
    const auto id = 1 + random() % 5;
    out.emplace_back(id, 50 + 20 * static_cast<std::uint32_t>(id));
  }
  return out;
}

}  // namespace

Test(kvindex, random_events_leave_what_a_plain_model_has) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    std::mt19937_64 random(seed);
    Index index(kRoomy);
    Plain plain;
    constexpr RunnerId kRunners = 5;
    const auto same = [&](std::uint64_t model, const Prompt& prompt) {
      std::map<RunnerId, kvindex::Overlap> listed;
      const auto all = found(index, prompt, kRunners, model);
      for (const auto& o : all) listed[o.runner] = o;
      cr_assert_eq(all.size(), listed.size(), "seed %lu: a runner is named twice", seed);
      for (std::size_t i = 1; i < all.size(); ++i) cr_assert_geq(all[i - 1].parts, all[i].parts);
      for (RunnerId r = 0; r < kRunners; ++r) {
        const auto want = plain.overlap(r, model, prompt), has = index.overlap(r, model, prompt);
        cr_assert(want.parts == has.parts && want.tokens == has.tokens && want.tier == has.tier,
                  "seed %lu runner %u: %u parts, %u wanted", seed, r, has.parts, want.parts);
        cr_assert_eq(index.keptTokens(r), plain.tokens(r), "seed %lu runner %u", seed, r);
        cr_assert_eq(listed.contains(r), want.parts > 0, "seed %lu runner %u", seed, r);
        if (want.parts > 0) cr_assert_eq(listed[r].parts, want.parts);
      }
    };
    for (int step = 0; step < 1500; ++step) {
      const auto runner = static_cast<RunnerId>(random() % kRunners);
      const auto model = 1 + random() % 2;
      const auto prompt = randomPrompt(random);
      const auto tier = static_cast<Tier>(random() % 3), other = static_cast<Tier>((static_cast<int>(tier) + 1) % 3);
      switch (random() % 16) {
        case 0: plain.clear(runner); index.clear(runner); break;
        case 1: {
          const auto revision = random() % 3;
          plain.revise(runner, model, revision);
          index.setRevision(runner, model, revision);
          break;
        }
        case 2: {
          const auto tokens = random() % 3 == 0 ? 0 : 200 + random() % 1500;
          plain.capacity[runner] = tokens;
          plain.fit(runner);
          index.setCapacity(runner, tokens);
          break;
        }
        case 3: plain.remove(runner, model, prompt, tier); index.remove(runner, model, prompt, tier); break;
        case 4:
        case 5: {
          // At no event of a move does the part go missing.
          const auto before = index.overlap(runner, model, prompt).parts;
          std::vector<bool> stores;
          index.setWatch([&](const kvindex::Event& event) {
            stores.push_back(std::holds_alternative<kvindex::BlockStored>(event));
            if (stores.size() <= 2) cr_assert_geq(index.overlap(runner, model, prompt).parts, before, "seed %lu", seed);
          });
          plain.move(runner, model, prompt, tier, other);
          index.move(runner, model, prompt, tier, other);
          index.setWatch({});
          for (std::size_t i = 1; i < stores.size(); ++i) cr_assert(!stores[i], "a store comes before its removes");
          break;
        }
        default: {
          const auto to = random() % 4 == 0 ? tier : Tier::Gpu;
          bool removed = false;
          index.setWatch([&](const kvindex::Event& event) {
            const bool store = std::holds_alternative<kvindex::BlockStored>(event);
            cr_assert(!store || !removed, "seed %lu: a store after a remove", seed);
            removed |= !store;
          });
          plain.store(runner, model, prompt, to);
          index.store(runner, model, prompt, to);
          index.setWatch({});
        }
      }
      same(model, prompt);
      same(model, randomPrompt(random));
    }
    for (RunnerId r = 0; r < kRunners; ++r) index.clear(r);
    cr_assert(index.blocks() == 0 && index.nodes() == 0 && index.bytes() == 0, "seed %lu: something is left", seed);
  }
}

Test(kvindex, the_best_of_several_tiers_counts) {
  Index index(kRoomy);
  const Prompt prompt{{1, 10}, {2, 20}};
  index.store(3, kModel, prompt, Tier::External);
  cr_assert(index.overlap(3, kModel, prompt).tier == Tier::External);
  index.store(3, kModel, prompt, Tier::Host);
  index.store(3, kModel, prompt, Tier::Gpu);
  cr_assert(index.overlap(3, kModel, prompt).tier == Tier::Gpu);
  index.remove(3, kModel, prompt, Tier::Gpu);
  cr_assert(index.overlap(3, kModel, prompt).tier == Tier::Host);
  cr_assert_eq(index.overlap(3, kModel, prompt).parts, 2u);
  cr_assert_eq(index.keptTokens(3), 10u, "only the device tier is counted against the capacity");
}

Test(kvindex, a_part_counts_only_behind_all_before_it_and_for_its_model) {
  Index index(kRoomy);
  const Prompt prompt{{1, 10}, {2, 20}, {3, 30}};
  index.store(0, kModel, prompt);
  cr_assert(found(index, prompt, 4, 2).empty());
  cr_assert(found(index, {{2, 20}, {3, 30}}).empty(), "what is kept behind another part is another block");
  index.remove(0, kModel, Prompt{{1, 10}, {2, 20}}, Tier::Gpu);
  cr_assert_eq(index.overlap(0, kModel, prompt).parts, 1u);
  cr_assert_eq(found(index, prompt).front().tokens, 10u);
  index.store(0, kModel, Prompt{{1, 10}, {2, 20}});
  cr_assert_eq(index.overlap(0, kModel, prompt).parts, 3u, "the part behind it had stayed");
}

Test(kvindex, memory_is_bounded_and_the_longest_unused_leave_first) {
  constexpr std::size_t kBound = 200'000;
  Index index(kBound);
  std::mt19937_64 random(5);
  const Prompt used{{1, 100}, {2, 100}, {3, 100}};
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    index.store(static_cast<RunnerId>(random() % 600), kModel, Prompt{{10 + i % 7, 300}, {1000 + i, 50}, {1'000'000 + i, 9}});
    if (i % 100 == 0) index.store(7, kModel, used);
    cr_assert_leq(index.bytes(), kBound);
  }
  cr_assert_gt(index.counters().forgotten, 10'000u);
  cr_assert_eq(index.overlap(7, kModel, used).parts, 3u, "what is used stays");
  cr_assert_eq(index.match(kModel, Prompt{{10, 300}, {1000, 50}}, 4).index(), 0u);
}

Test(kvindex, a_bound_without_room_fails_the_look_up) {
  Index index(10);
  const Prompt prompt{{1, 100}};
  cr_assert_eq(index.match(kModel, prompt, 4).index(), 0u);
  index.store(0, kModel, prompt);
  const auto result = index.match(kModel, prompt, 4);
  cr_assert(base::fault(result) != nullptr);
  cr_assert_eq(index.blocks(), 0u);
}

Test(kvindex, as_many_runners_as_are_asked_for_the_longest_overlap_first) {
  Index index(kRoomy);
  const Prompt prompt{{1, 10}, {2, 20}};
  for (RunnerId r = 0; r < 600; ++r) index.store(r, kModel, Prompt{{1, 10}, {100 + r, 1}});
  index.store(300, kModel, prompt);
  const auto few = found(index, prompt, 8);
  cr_assert_eq(few.size(), 8u);
  cr_assert(few.front().runner == 300 && few.front().tokens == 30);
  cr_assert(few.back().tokens == 10);
}

// The table of the source's section "Worked example": four blocks, multiplier 0.5, all four in the shared pool. There
// the prefill counts the whole prompt at either worker.
Test(kvindex, the_logit_is_that_of_the_worked_example) {
  kvindex::Score w0{1.0, 1.0, 4, 0, 0.5, 2}, w1{1.0, 1.0, 4, 0, 0.5, 4};
  cr_assert_float_eq(kvindex::logit(w0), 3.0, 1e-12);
  cr_assert_float_eq(kvindex::logit(w1), 2.0, 1e-12);
  cr_assert_lt(kvindex::logit(w1), kvindex::logit(w0), "the lower wins");
  // Without a shared pool, and in other units.
  cr_assert_float_eq(kvindex::logit({2.0, 16.0, 160, 5, 0, 0}), 25.0, 1e-12);
  // What the pool holds beyond the prompt saves no more than the prompt.
  cr_assert_float_eq(kvindex::logit({1.0, 1.0, 4, 1, 1.0, 40}), 1.0, 1e-12);
}
