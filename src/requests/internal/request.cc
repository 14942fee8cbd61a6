#include "requests/types/request.h"

#include <array>

namespace carobmast::requests {

namespace {

struct ReasonText {
  const char* name;
  int status;
};

// Indexed by Reason.
constexpr std::array<ReasonText, kReasonCount> kReasons = {{
    {"malformed", 400},
    {"unknown-service", 404},
    {"no-instance", 503},
    {"stopping", 503},
    {"queue-full", 503},
    {"team-limit", 429},
    {"deadline-too-near", 503},
    {"deadline-passed", 504},
    {"refused", 503},
    {"instance-failed", 502},
    {"answer-cut", 502},
    {"caller-gone", 499},
    {"key-claimed", 409},
    {"key-unavailable", 503},
}};

}  // namespace

const char* ReasonName(Reason reason) {
  return kReasons[static_cast<std::size_t>(reason)].name;
}

int ReasonStatus(Reason reason) {
  return kReasons[static_cast<std::size_t>(reason)].status;
}

const char* RanName(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace carobmast::requests
