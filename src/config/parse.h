// Reads a configuration set from the YAML file that operators write.
//
// The top level has one list for each kind (teams, size_classes, vm_pools,
// services, batch_jobs, standing_workers, drained_vms, publishers); each entry
// is a map with `name`. The optional key `base` is the offset of the set that
// the file was made from.
#ifndef CAROBMAST_CONFIG_PARSE_H_
#define CAROBMAST_CONFIG_PARSE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/types/check_error.h"
#include "config/types/objects.h"
#include "contracts/types/log_record.h"

namespace carobmast::config {

struct ParsedSet {
  // In the order of the file; entries whose name is unusable are left out.
  std::vector<Object> objects;
  // Unknown keys, wrong types and units, missing fields, unusable names.
  std::vector<CheckError> errors;
  std::optional<contracts::Offset> base;
  // Line of each object ("") and of each field that the file gives.
  std::map<std::pair<std::string, std::string>, int> lines;

  // Line of the field of an object, or of the object itself, or 0.
  int LineOf(const std::string& name, const std::string& field) const;
};

// Throws Error (step "check", peer "FILE:LINE") when `text` is no YAML map or
// breaks the bounds on size, depth and number of values.
ParsedSet ParseSet(const std::string& text, const std::string& file);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_PARSE_H_
