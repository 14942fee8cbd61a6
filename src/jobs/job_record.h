// Encodes and decodes the records of a shard's stream.
#ifndef CAROBMAST_JOBS_JOB_RECORD_H_
#define CAROBMAST_JOBS_JOB_RECORD_H_

#include <cstddef>
#include <string>

#include "jobs/generated/jobs.pb.h"
#include "jobs/types/job.h"

namespace carobmast::jobs {

// Key prefixes of job specifications, of their progress, and of blocks of a
// divided progress, each followed by the job ID, and the keys of the
// interference model and of the witnesses of leases.
inline constexpr char kJobPrefix[] = "j/";
inline constexpr char kProgressPrefix[] = "p/";
inline constexpr char kBlockPrefix[] = "b/";
// Of the records of CancelledIds.
inline constexpr char kCancelledIdsPrefix[] = "x/";
inline constexpr char kInterferenceKey[] = "m/interference";
inline constexpr char kWitnessesKey[] = "m/witnesses";
inline constexpr char kNodeWitnessesKey[] = "m/node-witnesses";
inline constexpr char kLeaseWaitsKey[] = "m/lease-waits";
inline constexpr char kIncarnationsKey[] = "m/incarnations";

proto::Step EncodeStep(const StepSpec& step);
StepSpec DecodeStep(const proto::Step& step);

// Encodes everything but the host and prefix of the queue, and the pool, which
// is a field of the job's record.
proto::Policy EncodePolicy(const QueuePolicy& policy);
// Decodes the policy and the pool of a job's record. `max_attempts` is 0 if the
// record has no policy.
QueuePolicy DecodePolicy(const proto::Job& job);

// Encodes everything but the queue, the policy and the time of acceptance.
proto::Job EncodeSpec(const JobSpec& spec);
JobSpec DecodeSpec(const proto::Job& job);

// Maximum number of tasks of a job; of one with occurrences, also of those that
// have begun and are not over. A task takes an owner some 300 bytes, of 64 MB.
inline constexpr std::size_t kMaxTasksPerJob = 20000;

// Validates a job. Returns the reason for refusing it, or an empty string when
// it is valid.
std::string CheckSpec(const JobSpec& spec);

// The name of the state in answers and logs, for example "running".
const char* StateName(JobState state);

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_JOB_RECORD_H_
