#include "config/rules.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>

#include "config/internal/fields.h"
#include "config/internal/values.h"
#include "config/kinds.h"

namespace carobmast::config {
namespace {

using internal::CountSpec;
using internal::DurationSpec;
using internal::FlagSpec;
using internal::FormatResources;
using internal::KeySpec;
using internal::NameListSpec;
using internal::Need;
using internal::PrioritySpec;
using internal::ReferenceListSpec;
using internal::ReferenceSpec;
using internal::ResourcesSpec;
using internal::TextSpec;

constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::size_t kKeyDigits = 64;
constexpr std::size_t kMaxListItems = 64;
constexpr std::uint64_t kMaxMilliCpus = 4'096'000;
constexpr std::uint64_t kMaxMemoryBytes = std::uint64_t{1} << 46;
constexpr std::uint64_t kMaxAccelerators = 64;

using Errors = std::vector<CheckError>;

// A visitor for VisitFields that checks the field values of one object.
template <typename O>
class ValueChecker {
 public:
  ValueChecker(const O& object, std::string title, Errors& errors)
      : object_(object), title_(std::move(title)), errors_(errors) {}

  template <typename Member, typename Spec>
  void Field(const char* name, Member O::*member, Spec spec, Need) {
    Check(name, object_.*member, spec);
  }

 private:
  void Add(const std::string& field, const std::string& reason) {
    errors_.push_back({.object = title_, .field = field, .reason = reason});
  }

  void Check(const char* field, const std::string& value, TextSpec) {
    if (value.empty() || value.size() > kMaxTextBytes) {
      Add(field, "expected text of 1 to 1024 bytes");
    }
  }

  void Check(const char* field, const std::string& value, KeySpec) {
    const bool is_hex =
        value.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (value.size() == kKeyDigits && is_hex) return;
    Add(field, "expected 64 lower-case hexadecimal digits");
  }

  // CheckReference checks these.
  void Check(const char*, const std::string&, ReferenceSpec) {}

  void Check(const char* field, const std::vector<std::string>& value,
             ReferenceListSpec) {
    CheckList(field, value);
  }

  void Check(const char* field, const std::vector<std::string>& value,
             NameListSpec) {
    if (value.empty()) Add(field, "expected at least one name");
    for (const std::string& name : value) {
      if (!IsValidName(name)) {
        Add(field, "'" + name +
                       "' is no name: expected 1 to 63 lower-case letters, "
                       "digits and inner hyphens");
      }
    }
    CheckList(field, value);
  }

  void CheckList(const char* field, const std::vector<std::string>& value) {
    if (value.size() > kMaxListItems) Add(field, "holds more than 64 names");
    std::set<std::string> seen;
    for (const std::string& name : value) {
      if (!seen.insert(name).second) Add(field, "names '" + name + "' twice");
    }
  }

  void Check(const char* field, std::uint32_t value, CountSpec spec) {
    if (value >= spec.min && value <= spec.max) return;
    Add(field, "expected a whole number from " + std::to_string(spec.min) +
                   " to " + std::to_string(spec.max) + ", found " +
                   std::to_string(value));
  }

  void Check(const char* field, Duration value, DurationSpec spec) {
    if (value >= spec.min && value <= spec.max) return;
    Add(field, "expected a duration from " + FormatDuration(spec.min) + " to " +
                   FormatDuration(spec.max) + ", found " +
                   FormatDuration(value));
  }

  void Check(const char* field, const contracts::Resources& value,
             ResourcesSpec spec) {
    const std::uint64_t max_cpus = kMaxMilliCpus * spec.max_workers;
    if (value.milli_cpus == 0 || value.milli_cpus > max_cpus) {
      Add(std::string(field) + ".cpus",
          "expected processors from 0.001 to " +
              internal::FormatCpus(max_cpus) + ", found " +
              internal::FormatCpus(value.milli_cpus));
    }
    const ByteCount max_memory{.bytes = kMaxMemoryBytes * spec.max_workers};
    if (value.memory.bytes == 0 || value.memory > max_memory) {
      Add(std::string(field) + ".memory",
          "expected a size from 1B to " + FormatByteCount(max_memory) +
              ", found " + FormatByteCount(value.memory));
    }
    const std::uint64_t max_accelerators = kMaxAccelerators * spec.max_workers;
    if (value.accelerators > max_accelerators) {
      Add(std::string(field) + ".accelerators",
          "expected at most " + std::to_string(max_accelerators) + ", found " +
              std::to_string(value.accelerators));
    }
  }

  void Check(const char*, bool, FlagSpec) {}
  void Check(const char*, Priority, PrioritySpec) {}

  const O& object_;
  std::string title_;
  Errors& errors_;
};

void CheckValues(const Object& object, Errors& errors) {
  if (!IsValidName(NameOf(object))) {
    errors.push_back({.object = Title(object),
                      .field = "name",
                      .reason = "expected 1 to 63 lower-case letters, digits "
                                "and inner hyphens"});
  }
  std::visit(
      [&](const auto& value) {
        using O = std::decay_t<decltype(value)>;
        ValueChecker<O> checker(value, Title(object), errors);
        internal::VisitFields(checker, value);
      },
      object);
}

// Returns whether the reference resolves; adds an error otherwise.
bool CheckReference(const ObjectSet& set, const std::string& title,
                    const Reference& reference, Errors& errors) {
  const ObjectSet::Entry* target = set.Find(reference.name);
  if (target != nullptr && target->kind == reference.kind) return true;
  std::string reason =
      "no " + KindName(reference.kind) + " is named '" + reference.name + "'";
  if (target != nullptr) {
    reason = "'" + reference.name + "' is a " + KindName(target->kind) +
             ", expected a " + KindName(reference.kind);
  }
  errors.push_back(
      {.object = title, .field = reference.field, .reason = reason});
  return false;
}

bool Fits(const contracts::Resources& required,
          const contracts::Resources& available) {
  return required.milli_cpus <= available.milli_cpus &&
         required.memory.bytes <= available.memory.bytes &&
         required.accelerators <= available.accelerators;
}

// The fields common to services, batch jobs and standing workers.
struct Workload {
  const std::string& team;
  const std::string& pool;
  const contracts::Resources& required;
  const char* resources_field;
};

std::optional<Workload> WorkloadOf(const Object& object) {
  if (const Service* service = std::get_if<Service>(&object)) {
    return Workload{service->team, service->pool, service->instance,
                    "instance"};
  }
  if (const BatchJob* job = std::get_if<BatchJob>(&object)) {
    return Workload{job->team, job->pool, job->task, "task"};
  }
  if (const StandingWorker* worker = std::get_if<StandingWorker>(&object)) {
    return Workload{worker->team, worker->pool, worker->task, "task"};
  }
  return {};
}

void CheckFitsPoolAndQuota(const ObjectSet& set, const Object& object,
                           Errors& errors) {
  const std::optional<Workload> work = WorkloadOf(object);
  if (!work.has_value()) return;
  const auto pool = set.objects().vm_pools.find(work->pool);
  if (pool != set.objects().vm_pools.end() &&
      !Fits(work->required, pool->second.worker)) {
    errors.push_back(
        {.object = Title(object),
         .field = work->resources_field,
         .reason = "can never run: needs " + FormatResources(work->required) +
                   "; the largest worker of vm pool " + work->pool + " has " +
                   FormatResources(pool->second.worker),
         .derived = true});
  }
  const auto team = set.objects().teams.find(work->team);
  if (team != set.objects().teams.end() &&
      !Fits(work->required, team->second.quota)) {
    errors.push_back({.object = Title(object),
                      .field = work->resources_field,
                      .reason = "can never run: needs " +
                                FormatResources(work->required) +
                                "; the quota of team " + work->team + " is " +
                                FormatResources(team->second.quota),
                      .derived = true});
  }
}

// The size classes of a service must have increasing bounds, so that each
// covers a distinct range of run times.
void CheckSizeClassOrder(const ObjectSet& set, const Object& object,
                         Errors& errors) {
  const Service* service = std::get_if<Service>(&object);
  if (service == nullptr) return;
  const SizeClass* previous = nullptr;
  for (const std::string& name : service->size_classes) {
    const auto found = set.objects().size_classes.find(name);
    if (found == set.objects().size_classes.end()) continue;
    const SizeClass& size_class = found->second;
    if (previous != nullptr && size_class.up_to <= previous->up_to) {
      errors.push_back({.object = Title(object),
                        .field = "size_classes",
                        .reason = "size class " + name + " (up to " +
                                  FormatDuration(size_class.up_to) +
                                  ") must be longer than " + previous->name +
                                  " (up to " + FormatDuration(previous->up_to) +
                                  ") before it"});
    }
    previous = &size_class;
  }
}

void CheckObject(const ObjectSet& set, const Object& object, Errors& errors) {
  CheckValues(object, errors);
  for (const Reference& reference : ReferencesOf(object)) {
    CheckReference(set, Title(object), reference, errors);
  }
  CheckFitsPoolAndQuota(set, object, errors);
  CheckSizeClassOrder(set, object, errors);
}

std::string FormatWide(WideCount value) {
  if (value == 0) return "0";
  std::string digits;
  for (; value > 0; value /= 10) {
    digits.insert(digits.begin(), static_cast<char>('0' + value % 10));
  }
  return digits;
}

// Formats whole processors and gigabytes, rounded up.
std::string FormatSum(const ResourceSum& sum) {
  constexpr WideCount kGigabyte = 1'000'000'000;
  return FormatWide((sum.milli_cpus + 999) / 1000) + " cpus, " +
         FormatWide((sum.memory_bytes + kGigabyte - 1) / kGigabyte) + "GB, " +
         FormatWide(sum.accelerators) + " accelerators";
}

void CheckTeamDemand(const ObjectSet& set, const Team& team, Errors& errors) {
  ResourceSum quota;
  quota.Add(team.quota, 1);
  const ResourceSum demand = set.StandingDemand(team.name);
  if (demand.FitsIn(quota)) return;
  errors.push_back({.object = Title(Kind::kTeam, team.name),
                    .field = "quota",
                    .reason = "its services and standing workers need " +
                              FormatSum(demand) + "; the quota is " +
                              FormatSum(quota),
                    .derived = true});
}

void CheckPoolDemand(const ObjectSet& set, const VmPool& pool, Errors& errors) {
  ResourceSum capacity;
  capacity.Add(pool.worker, pool.workers);
  const ResourceSum demand = set.StandingDemand(pool.name);
  if (demand.FitsIn(capacity)) return;
  errors.push_back({.object = Title(Kind::kVmPool, pool.name),
                    .field = "workers",
                    .reason = "its services and standing workers need " +
                              FormatSum(demand) + "; its workers have " +
                              FormatSum(capacity),
                    .derived = true});
}

// Checks the demand of each team and pool among `names`.
void CheckDemands(const ObjectSet& set, const std::set<std::string>& names,
                  Errors& errors) {
  for (const std::string& name : names) {
    const auto team = set.objects().teams.find(name);
    if (team != set.objects().teams.end()) {
      CheckTeamDemand(set, team->second, errors);
    }
    const auto pool = set.objects().vm_pools.find(name);
    if (pool != set.objects().vm_pools.end()) {
      CheckPoolDemand(set, pool->second, errors);
    }
  }
}

void CheckWholeSet(const ObjectSet& set, Errors& errors) {
  if (!set.total_quota().FitsIn(set.total_capacity())) {
    errors.push_back({.object = "set",
                      .reason = "the quotas of all teams are " +
                                FormatSum(set.total_quota()) +
                                "; the workers of all vm pools have " +
                                FormatSum(set.total_capacity()),
                      .derived = true});
  }
  if (set.size() > kMaxObjects) {
    errors.push_back({.object = "set",
                      .reason = "holds " + std::to_string(set.size()) +
                                " objects, expected at most " +
                                std::to_string(kMaxObjects)});
  }
}

// Finds cycles of batch jobs by an iterative depth-first search along `after`.
// All searches of one check share the visited jobs, so that the total cost is
// linear.
class CycleFinder {
 public:
  CycleFinder(const ObjectSet& set, Errors& errors)
      : jobs_(set.objects().batch_jobs), errors_(errors) {}

  void SearchFrom(const std::string& start) {
    if (done_.contains(start) || !jobs_.contains(start)) return;
    Enter(start);
    while (!path_.empty()) Step();
  }

 private:
  struct Visit {
    std::string name;
    std::size_t next = 0;
  };

  void Enter(const std::string& name) {
    path_.push_back({.name = name});
    on_path_.insert(name);
  }

  void Step() {
    Visit& visit = path_.back();
    const std::vector<std::string>& after = jobs_.at(visit.name).after;
    if (visit.next == after.size()) {
      on_path_.erase(visit.name);
      done_.insert(visit.name);
      path_.pop_back();
      return;
    }
    const std::string& target = after[visit.next++];
    if (on_path_.contains(target)) {
      ReportCycle(target);
    } else if (jobs_.contains(target) && !done_.contains(target)) {
      Enter(target);
    }
  }

  // Reports the cycle beginning with its smallest name, so that the message
  // does not depend on where the search entered it.
  void ReportCycle(const std::string& entry) {
    std::vector<std::string> cycle;
    for (std::size_t i = path_.size(); i-- > 0;) {
      cycle.insert(cycle.begin(), path_[i].name);
      if (path_[i].name == entry) break;
    }
    std::rotate(cycle.begin(), std::min_element(cycle.begin(), cycle.end()),
                cycle.end());
    std::string text;
    for (const std::string& name : cycle) text += name + " after ";
    errors_.push_back({.object = Title(Kind::kBatchJob, cycle.front()),
                       .field = "after",
                       .reason = "cyclic: " + text + cycle.front()});
  }

  const std::map<std::string, BatchJob>& jobs_;
  Errors& errors_;
  std::vector<Visit> path_;
  std::set<std::string> on_path_;
  std::set<std::string> done_;
};

void AddTeamAndPool(const Object& object, std::set<std::string>& names) {
  names.insert(NameOf(object));
  const std::optional<Workload> work = WorkloadOf(object);
  if (!work.has_value()) return;
  names.insert(work->team);
  names.insert(work->pool);
}

void AddWithReferrers(const ObjectSet& set, const std::string& name,
                      std::set<std::string>& names) {
  names.insert(name);
  const std::vector<std::string> referrers = set.ReferrersOf(name);
  names.insert(referrers.begin(), referrers.end());
}

// A name can't change its kind within one publish: the object must be removed
// by an earlier publish first.
void CheckKinds(const ObjectSet& set,
                const std::vector<StampedObject>& replaced, Errors& errors) {
  for (const StampedObject& old : replaced) {
    const ObjectSet::Entry* entry = set.Find(NameOf(old.object));
    if (entry == nullptr || entry->kind == KindOf(old.object)) continue;
    errors.push_back(
        {.object = Title(entry->kind, NameOf(old.object)),
         .field = "name",
         .reason = "is the name of a " + KindName(KindOf(old.object)) +
                   " until that is removed by an earlier publish"});
  }
}

}  // namespace

std::vector<CheckError> CheckChangeV1(
    const ObjectSet& set, const Change& change,
    const std::vector<StampedObject>& replaced) {
  std::set<std::string> touched;
  std::set<std::string> demands;
  for (const Object& object : change.put) {
    AddWithReferrers(set, NameOf(object), touched);
    AddTeamAndPool(object, demands);
  }
  for (const std::string& name : change.remove) {
    AddWithReferrers(set, name, touched);
  }
  for (const StampedObject& old : replaced) AddTeamAndPool(old.object, demands);

  Errors errors;
  CycleFinder cycles(set, errors);
  for (const std::string& name : touched) {
    if (set.Find(name) == nullptr) continue;
    CheckObject(set, set.Get(name), errors);
    cycles.SearchFrom(name);
  }
  CheckKinds(set, replaced, errors);
  CheckDemands(set, demands, errors);
  CheckWholeSet(set, errors);
  return errors;
}

RuleTable AllRules() { return {{1, CheckChangeV1}}; }

}  // namespace carobmast::config
