// Parses a configuration set from the YAML file that operators write.
//
// The top level has one list for each kind (teams, size_classes, vm_pools,
// services, batch_jobs, standing_workers, drained_vms, publishers); each entry
// is a map with the key `name` and the fields of its kind. The optional
// top-level key `base` is the offset of the set that the file was made from.
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
  // Objects by kind and then in the order of the file, without entries that
  // have an invalid or duplicate name.
  std::vector<Object> objects;
  // Unknown and duplicate keys, wrong types and units, missing fields, invalid
  // and duplicate names. The rules are not checked, see check.h.
  std::vector<CheckError> errors;
  std::optional<contracts::Offset> base;
  // Line numbers by object name and field; the field "" is the object itself.
  std::map<std::pair<std::string, std::string>, int> lines;

  // Line of the field; else that of the object; else 0.
  int LineOf(const std::string& name, const std::string& field) const;
};

// Throws Error (step "check", peer "FILE" or "FILE:LINE") when `text` is no
// YAML map or exceeds the limits on size, depth or number of values.
ParsedSet ParseSet(const std::string& text, const std::string& file);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_PARSE_H_
