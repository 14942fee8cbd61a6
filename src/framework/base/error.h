// The exception type of the whole product.
#ifndef CAROBMAST_FRAMEWORK_BASE_ERROR_H_
#define CAROBMAST_FRAMEWORK_BASE_ERROR_H_

#include <stdexcept>
#include <string>

namespace carobmast {

// A failure with the step that failed (e.g. "log append") and the peer that it
// involved (an address, a file name or "local"). what() is "STEP with PEER:
// REASON".
class Error : public std::runtime_error {
 public:
  Error(std::string step, std::string peer, const std::string& reason);

  const std::string& step() const { return step_; }
  const std::string& peer() const { return peer_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string step_;
  std::string peer_;
  std::string reason_;
};

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_ERROR_H_
