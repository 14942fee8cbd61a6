// One reason why a configuration set is refused.
#ifndef CAROBMAST_CONFIG_TYPES_CHECK_ERROR_H_
#define CAROBMAST_CONFIG_TYPES_CHECK_ERROR_H_

#include <string>

namespace carobmast::config {

struct CheckError {
  // Kind and name, e.g. "service portal"; "set" for the set as a whole.
  std::string object;
  // Empty when the object as a whole is at fault.
  std::string field;
  std::string reason;
  // Line in the file, counted from 1; 0 when there is no file.
  int line = 0;
  // Whether it follows from amounts that other objects give; it is not worth
  // reporting while such an amount is itself at fault.
  bool derived = false;

  // "service portal: field 'pool': REASON", without file and line.
  std::string ToString() const;

  friend bool operator==(const CheckError&, const CheckError&) = default;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_CHECK_ERROR_H_
