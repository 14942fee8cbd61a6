#include "requests/policy.h"

#include <algorithm>
#include <memory>
#include <tuple>

#include "framework/base/error.h"

namespace carobmast::requests {

namespace {

using Candidates = std::vector<InstanceState*>;

std::size_t RandomBelow(Random& random, std::size_t bound) {
  return static_cast<std::size_t>(random() % bound);
}

InstanceState* PickRandom(const Candidates& candidates, Random& random) {
  return candidates[RandomBelow(random, candidates.size())];
}

// Picks the candidate with the least `key`, with a random choice among equals.
template <typename Key>
InstanceState* PickLeast(const Candidates& candidates, Random& random,
                         const Key& key) {
  const std::size_t start = RandomBelow(random, candidates.size());
  InstanceState* best = candidates[start];
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    InstanceState* next = candidates[(start + i) % candidates.size()];
    if (key(*next) < key(*best)) best = next;
  }
  return best;
}

// Orders instances by load: slow ones last, then by the number of requests of
// this gateway in flight.
std::tuple<bool, std::uint32_t> LoadKey(const InstanceState& instance) {
  return {instance.health.is_slow(), instance.outstanding};
}

InstanceState* PickOfTwo(const Candidates& candidates, Random& random) {
  InstanceState* one = PickRandom(candidates, random);
  InstanceState* other = PickRandom(candidates, random);
  return LoadKey(*other) < LoadKey(*one) ? other : one;
}

// A probe is not used if it is older than the newest one by this time.
constexpr Duration kMaxProbeAge = std::chrono::milliseconds(100);
// Maximum number of requests routed by one probe.
constexpr std::uint32_t kMaxPicksPerProbe = 3;
// An instance with at least this many requests in flight is hot. Hot instances
// are picked only if all are hot, and then by requests in flight.
constexpr std::uint32_t kHotInFlight = 8;

InstanceState* PickProbed(const Candidates& candidates, Random& random) {
  MonotonicTime newest{};
  for (const InstanceState* candidate : candidates) {
    newest = std::max(newest, candidate->probed_at);
  }
  Candidates probed;
  for (InstanceState* candidate : candidates) {
    const bool fresh = candidate->probed_at != MonotonicTime{} &&
                       newest - candidate->probed_at < kMaxProbeAge;
    if (fresh && candidate->picks_since_probe < kMaxPicksPerProbe) {
      probed.push_back(candidate);
    }
  }
  InstanceState* best =
      probed.size() < 2
          ? PickOfTwo(candidates, random)
          : PickLeast(probed, random, [](const InstanceState& instance) {
              const bool hot = instance.probed_in_flight >= kHotInFlight;
              return std::make_tuple(hot, hot ? instance.probed_in_flight : 0,
                                     instance.probed_latency,
                                     instance.probed_in_flight);
            });
  ++best->picks_since_probe;
  ++best->probed_in_flight;
  return best;
}

Policy MakeRoundRobin() {
  const std::shared_ptr<std::size_t> next = std::make_shared<std::size_t>(0);
  return {.name = "round_robin",
          .pick = [next](const Candidates& candidates, Random&) {
            return candidates[(*next)++ % candidates.size()];
          }};
}

}  // namespace

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> names = {
      "round_robin", "power_of_two", "least_outstanding", "probing", "homed"};
  return names;
}

Policy MakePolicy(const std::string& name) {
  if (name == "round_robin") return MakeRoundRobin();
  if (name == "power_of_two") {
    return {.name = name, .pick = PickOfTwo, .spills_early = true};
  }
  if (name == "least_outstanding" || name == "homed") {
    return {.name = name,
            .pick =
                [](const Candidates& candidates, Random& random) {
                  return PickLeast(candidates, random, LoadKey);
                },
            .spills_early = true,
            .homed = name == "homed"};
  }
  if (name == "probing") {
    return {
        .name = name, .pick = PickProbed, .spills_early = true, .probes = true};
  }
  throw Error("policy", "local", "unknown policy \"" + name + "\"");
}

}  // namespace carobmast::requests
