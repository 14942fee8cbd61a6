// An error found by checking a configuration set.
#ifndef CAROBMAST_CONFIG_TYPES_CHECK_ERROR_H_
#define CAROBMAST_CONFIG_TYPES_CHECK_ERROR_H_

#include <string>

namespace carobmast::config {

struct CheckError {
  // Kind and name of the object, e.g. "service portal"; "set" for an error of
  // the set as a whole.
  std::string object;
  // Name of the field; empty when the error is not about a single field.
  std::string field;
  std::string reason;
  // Line in the checked file, counted from 1; 0 when there is no file.
  int line = 0;
  // Whether the error is computed from amounts stated in other fields or
  // objects. It may be spurious while one of those amounts is itself in error;
  // CheckText then leaves it out.
  bool derived = false;

  // Formats the error as "service portal: field 'pool': REASON", without file
  // and line.
  std::string ToString() const;

  friend bool operator==(const CheckError&, const CheckError&) = default;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_CHECK_ERROR_H_
