// Helpers that set up a small deployment for the tests of this module.
#ifndef CAROBMAST_WORK_TESTS_SCENARIO_H_
#define CAROBMAST_WORK_TESTS_SCENARIO_H_

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/base/units.h"
#include "work/fakes/fake_world.h"

namespace carobmast::work {

inline contracts::Resources MakeResources(std::uint64_t cpus,
                                          std::uint64_t gigabytes) {
  return {.milli_cpus = cpus * 1000,
          .memory = {.bytes = gigabytes * 1000 * 1000 * 1000}};
}

inline config::BatchJob MakeJob(std::uint32_t tasks,
                                const std::string& program) {
  return {.name = "reconciliation",
          .pool = "pool",
          .program = program,
          .tasks = tasks,
          .task = MakeResources(2, 4),
          .max_attempts = 3,
          .checkpoints = true};
}

// A standing worker "watcher" with this many replicas, in a pool that spans
// both zones.
inline config::Objects WatcherConfig(std::uint32_t replicas) {
  config::Objects objects;
  objects.vm_pools["pool"] = {.name = "pool", .zones = {"zg-a", "zg-b"}};
  objects.standing_workers["watcher"] = {.name = "watcher",
                                         .pool = "pool",
                                         .program = "watch",
                                         .replicas = replicas,
                                         .task = MakeResources(1, 2)};
  return objects;
}

// Adds a zone with its schedulers, and racks with this many workers each.
inline void AddZone(FakeWorld& world, const std::string& zone,
                    int schedulers = 2, int racks = 1, int workers = 3) {
  for (int rack = 0; rack < racks; ++rack) {
    for (int i = 0; i < workers; ++i) {
      const std::string rack_name = "r" + std::to_string(rack);
      world.AddWorker(
          {.name = zone + "-" + rack_name + "-w" + std::to_string(i),
           .zone = zone,
           .rack = rack_name,
           .pool = "pool",
           .capacity = MakeResources(8, 32)});
    }
  }
  for (int i = 0; i < schedulers; ++i) {
    world.AddScheduler({.name = zone + "-s" + std::to_string(i), .zone = zone});
  }
}

inline void AssertNoViolation(const FakeWorld& world) {
  for (const Violation& violation : world.violations()) {
    CPPUNIT_FAIL(violation.what + " at " + FormatDuration(violation.at));
  }
}

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_TESTS_SCENARIO_H_
