#include "framework/base/error.h"

#include <utility>

namespace carobmast {

Error::Error(std::string step, std::string peer, const std::string& reason)
    : std::runtime_error(step + " with " + peer + ": " + reason),
      step_(std::move(step)),
      peer_(std::move(peer)),
      reason_(reason) {}

}  // namespace carobmast
