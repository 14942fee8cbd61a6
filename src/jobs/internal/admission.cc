#include "jobs/admission.h"

#include <algorithm>
#include <functional>

namespace carobmast::jobs {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinRetryAfter{1000};
// After this time few callers still want their result.
constexpr milliseconds kMaxRetryAfter{4000};
// The last part of the retry delay is spread over this time.
constexpr milliseconds kRetrySpread{1000};

}  // namespace

std::optional<milliseconds> RetryAfterIfRejected(const AdmissionInput& input) {
  if (!input.without_room.has_value() ||
      *input.without_room <= kUsefulObjectives * input.objective) {
    return std::nullopt;
  }
  const milliseconds without_room =
      std::chrono::duration_cast<milliseconds>(*input.without_room);
  const milliseconds spread(static_cast<std::int64_t>(
      std::hash<std::string>()(input.id) %
      static_cast<std::size_t>(kRetrySpread.count())));
  return std::clamp(without_room, kMinRetryAfter, kMaxRetryAfter) + spread;
}

}  // namespace carobmast::jobs
