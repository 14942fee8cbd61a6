// The complete check of a set's file, as operators run it before a publish.
#ifndef CAROBMAST_CONFIG_CHECK_H_
#define CAROBMAST_CONFIG_CHECK_H_

#include <optional>
#include <string>
#include <vector>

#include "config/object_set.h"
#include "config/types/check_error.h"
#include "config/types/objects.h"

namespace carobmast::config {

// A parsed set with all errors found in it.
struct CheckedSet {
  ObjectSet set;
  // All errors in the order of lines; empty when the set is valid.
  std::vector<CheckError> errors;
  // Offset of the set that the file was made from, if the file states it.
  std::optional<contracts::Offset> base;
};

// Parses and checks `text`; `file` is used in messages only. Throws Error (step
// "check", peer "FILE" or "FILE:LINE") when `text` can't be parsed as a map of
// lists at all; other errors are returned.
CheckedSet CheckText(const std::string& text, const std::string& file);

// Same for the file at `path`. Also throws Error when the file can't be read.
CheckedSet CheckFile(const std::string& path);

// Formats the error as "FILE:LINE: service portal: field 'pool': REASON".
std::string FormatError(const CheckError& error, const std::string& file);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_CHECK_H_
