// Small configuration sets and records for tests.
#ifndef CAROBMAST_CONFIG_TESTS_TEST_SETS_H_
#define CAROBMAST_CONFIG_TESTS_TEST_SETS_H_

#include <string>
#include <utility>

#include "config/codec.h"
#include "config/fold.h"
#include "config/record.h"

namespace carobmast::config {

inline contracts::Resources SmallResources(std::uint64_t cpus) {
  return {.milli_cpus = 1000 * cpus, .memory = {.bytes = cpus * 1'000'000'000}};
}

// A team, a pool with 64 processors in total, and a batch job.
inline Change FirstChange() {
  Change change;
  change.put.emplace_back(Team{.name = "sales", .quota = SmallResources(32)});
  change.put.emplace_back(VmPool{.name = "pool",
                                 .zones = {"z-a"},
                                 .workers = 4,
                                 .worker = SmallResources(16)});
  change.put.emplace_back(BatchJob{.name = "sum",
                                   .team = "sales",
                                   .pool = "pool",
                                   .program = "sum",
                                   .task = SmallResources(1)});
  return change;
}

// Adds or replaces the batch job `name`, with `tasks` tasks.
inline Change JobChange(const std::string& name, std::uint32_t tasks) {
  Change change;
  change.put.emplace_back(BatchJob{.name = name,
                                   .team = "sales",
                                   .pool = "pool",
                                   .program = "sum",
                                   .tasks = tasks,
                                   .task = SmallResources(1)});
  return change;
}

// A publish of `change` based on the set that `fold` holds.
inline PublishRecord PublishOn(const ConfigFold& fold, const Change& change,
                               const std::string& publisher = "ana") {
  ObjectSet set;
  fold.set().ForEachAfter("", [&](const StampedObject& object) {
    set.Put(object);
    return true;
  });
  set.Apply(change, Stamp{});
  return {.rules = fold.head().rules,
          .base = fold.head().offset,
          .publisher = publisher,
          .digest = set.Digest(),
          .change = change};
}

inline contracts::LogRecord RecordAt(contracts::Offset offset,
                                     const std::string& id,
                                     const std::string& data) {
  return {.offset = offset, .id = id, .data = data};
}

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TESTS_TEST_SETS_H_
