// The records of a shard's stream.
#ifndef CAROBMAST_JOBS_JOB_RECORD_H_
#define CAROBMAST_JOBS_JOB_RECORD_H_

#include <string>

#include "jobs/generated/jobs.pb.h"
#include "jobs/types/job.h"

namespace carobmast::jobs {

inline constexpr char kJobPrefix[] = "j/";
inline constexpr char kProgressPrefix[] = "p/";
inline constexpr char kInterferenceKey[] = "m/interference";

proto::Step EncodeStep(const StepSpec& step);
StepSpec DecodeStep(const proto::Step& step);

// Everything but queue, pool and the time of acceptance.
proto::Job EncodeSpec(const JobSpec& spec);
JobSpec DecodeSpec(const proto::Job& job);

// Why the spec can't be run as it is; empty when it can.
std::string CheckSpec(const JobSpec& spec);

// The word for callers and operators, e.g. "running".
const char* StateName(JobState state);

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_JOB_RECORD_H_
