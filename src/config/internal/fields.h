// The fields of each kind of object. The file format, the canonical form and
// the value checks are all generated from these lists.
//
// A visitor has a member function template
//   Field(const char* name, Member O::* member, Spec spec, Need need)
// that handles each Spec below. The ranges are part of rule version 1, see
// rules.h.
#ifndef CAROBMAST_CONFIG_INTERNAL_FIELDS_H_
#define CAROBMAST_CONFIG_INTERNAL_FIELDS_H_

#include <cstdint>

#include "config/types/objects.h"

namespace carobmast::config::internal {

// Whether a file must contain the field.
enum class Need { kRequired, kOptional };

// Non-empty free text, such as the program to run.
struct TextSpec {};
// A public key as hexadecimal digits.
struct KeySpec {};
// The name of an object of `kind`.
struct ReferenceSpec {
  Kind kind;
};
// Distinct names of objects of `kind`.
struct ReferenceListSpec {
  Kind kind;
};
// Distinct names of things outside the set, such as zones; at least one.
struct NameListSpec {};
// A whole number.
struct CountSpec {
  std::uint32_t min;
  std::uint32_t max;
};
struct DurationSpec {
  Duration min;
  Duration max;
};
// The resources of one task or worker, or the sum for up to `max_workers`
// workers.
struct ResourcesSpec {
  std::uint64_t max_workers = 1;
};
struct FlagSpec {};
struct PrioritySpec {};

inline constexpr std::uint32_t kMaxInstances = 10'000;
inline constexpr std::uint32_t kMaxWorkers = 100'000;
inline constexpr std::uint32_t kMaxConnections = 65'535;
inline constexpr std::uint32_t kMaxTasks = 100'000;
inline constexpr std::uint32_t kMaxRequests = 1'000'000;
inline constexpr std::uint32_t kMaxRackSize = 1'000;
inline constexpr std::uint32_t kMaxAttempts = 100;
inline constexpr Duration kMinDuration = std::chrono::milliseconds(1);
inline constexpr Duration kMaxDeadline = std::chrono::hours(1);
inline constexpr Duration kMaxRunTime = std::chrono::hours(24 * 366);

template <typename Visitor>
void VisitFields(Visitor& visitor, const Team&) {
  visitor.Field("quota", &Team::quota, ResourcesSpec{kMaxWorkers},
                Need::kRequired);
  visitor.Field("priority", &Team::priority, PrioritySpec{}, Need::kOptional);
  visitor.Field("max_requests", &Team::max_requests, CountSpec{0, kMaxRequests},
                Need::kOptional);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, const SizeClass&) {
  visitor.Field("up_to", &SizeClass::up_to,
                DurationSpec{kMinDuration, kMaxRunTime}, Need::kRequired);
  visitor.Field("max_share", &SizeClass::max_share, CountSpec{1, 100},
                Need::kOptional);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, const VmPool&) {
  visitor.Field("zones", &VmPool::zones, NameListSpec{}, Need::kRequired);
  visitor.Field("workers", &VmPool::workers, CountSpec{1, kMaxWorkers},
                Need::kRequired);
  visitor.Field("worker", &VmPool::worker, ResourcesSpec{}, Need::kRequired);
  visitor.Field("rack_size", &VmPool::rack_size, CountSpec{1, kMaxRackSize},
                Need::kOptional);
  visitor.Field("guards", &VmPool::guards, FlagSpec{}, Need::kOptional);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, const Service&) {
  visitor.Field("team", &Service::team, ReferenceSpec{Kind::kTeam},
                Need::kRequired);
  visitor.Field("pool", &Service::pool, ReferenceSpec{Kind::kVmPool},
                Need::kRequired);
  visitor.Field("program", &Service::program, TextSpec{}, Need::kRequired);
  visitor.Field("instances", &Service::instances, CountSpec{1, kMaxInstances},
                Need::kOptional);
  visitor.Field("instance", &Service::instance, ResourcesSpec{},
                Need::kRequired);
  visitor.Field("slots", &Service::slots, CountSpec{1, kMaxConnections},
                Need::kOptional);
  visitor.Field("connections", &Service::connections,
                CountSpec{1, kMaxConnections}, Need::kOptional);
  visitor.Field("deadline", &Service::deadline,
                DurationSpec{kMinDuration, kMaxDeadline}, Need::kOptional);
  visitor.Field("size_classes", &Service::size_classes,
                ReferenceListSpec{Kind::kSizeClass}, Need::kOptional);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, const BatchJob&) {
  visitor.Field("team", &BatchJob::team, ReferenceSpec{Kind::kTeam},
                Need::kRequired);
  visitor.Field("pool", &BatchJob::pool, ReferenceSpec{Kind::kVmPool},
                Need::kRequired);
  visitor.Field("program", &BatchJob::program, TextSpec{}, Need::kRequired);
  visitor.Field("tasks", &BatchJob::tasks, CountSpec{1, kMaxTasks},
                Need::kOptional);
  visitor.Field("task", &BatchJob::task, ResourcesSpec{}, Need::kRequired);
  visitor.Field("expected_run_time", &BatchJob::expected_run_time,
                DurationSpec{kMinDuration, kMaxRunTime}, Need::kOptional);
  visitor.Field("max_attempts", &BatchJob::max_attempts,
                CountSpec{1, kMaxAttempts}, Need::kOptional);
  visitor.Field("checkpoints", &BatchJob::checkpoints, FlagSpec{},
                Need::kOptional);
  visitor.Field("after", &BatchJob::after, ReferenceListSpec{Kind::kBatchJob},
                Need::kOptional);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, const StandingWorker&) {
  visitor.Field("team", &StandingWorker::team, ReferenceSpec{Kind::kTeam},
                Need::kRequired);
  visitor.Field("pool", &StandingWorker::pool, ReferenceSpec{Kind::kVmPool},
                Need::kRequired);
  visitor.Field("program", &StandingWorker::program, TextSpec{},
                Need::kRequired);
  visitor.Field("replicas", &StandingWorker::replicas,
                CountSpec{1, kMaxInstances}, Need::kOptional);
  visitor.Field("task", &StandingWorker::task, ResourcesSpec{},
                Need::kRequired);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, const DrainedVm&) {
  visitor.Field("reason", &DrainedVm::reason, TextSpec{}, Need::kRequired);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, const Publisher&) {
  visitor.Field("key", &Publisher::key, KeySpec{}, Need::kRequired);
}

}  // namespace carobmast::config::internal

#endif  // CAROBMAST_CONFIG_INTERNAL_FIELDS_H_
