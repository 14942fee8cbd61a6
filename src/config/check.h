// The full check of a set's file, as operators run it before a publish.
#ifndef CAROBMAST_CONFIG_CHECK_H_
#define CAROBMAST_CONFIG_CHECK_H_

#include <optional>
#include <string>
#include <vector>

#include "config/object_set.h"
#include "config/types/check_error.h"
#include "config/types/objects.h"

namespace carobmast::config {

struct CheckedSet {
  ObjectSet set;
  // All errors, in the order of lines; the set is valid when there is none.
  std::vector<CheckError> errors;
  // The offset that the file says it was made from.
  std::optional<contracts::Offset> base;
};

// Throws Error (step "check", peer "FILE:LINE") when `text` can't be read as a
// map of lists at all.
CheckedSet CheckText(const std::string& text, const std::string& file);

// Reads the file and checks it. Throws Error also when it can't be read.
CheckedSet CheckFile(const std::string& path);

// "FILE:LINE: service portal: field 'pool': REASON".
std::string FormatError(const CheckError& error, const std::string& file);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_CHECK_H_
