// Counts the attempts of a task, or of a gang, that have ended as failed.
#ifndef CAROBMAST_JOBS_INTERNAL_FAILED_ATTEMPTS_H_
#define CAROBMAST_JOBS_INTERNAL_FAILED_ATTEMPTS_H_

#include <cstdint>
#include <set>

#include "jobs/generated/jobs.pb.h"

namespace carobmast::jobs {

// Each attempt counts once, whichever member of a gang failed in it and however
// often its end is reported.
class FailedAttempts {
 public:
  // Returns false if the attempt has been counted before.
  bool Add(std::uint32_t attempt);
  std::uint32_t count() const { return count_; }

  void Encode(proto::Task& record) const;
  // Records of earlier versions hold the number of reports only; these are
  // taken for those of the latest attempts that are over.
  void Decode(const proto::Task& record);

 private:
  void DropEarliest();

  std::uint32_t count_ = 0;
  // The latest ones. If some are left out, all before the first of them are
  // taken for counted.
  std::set<std::uint32_t> latest_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERNAL_FAILED_ATTEMPTS_H_
