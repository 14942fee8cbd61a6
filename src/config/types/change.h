// A difference between two configuration sets.
#ifndef CAROBMAST_CONFIG_TYPES_CHANGE_H_
#define CAROBMAST_CONFIG_TYPES_CHANGE_H_

#include <string>
#include <vector>

#include "config/types/objects.h"

namespace carobmast::config {

// Objects added or replaced, and the names of objects removed.
struct Change {
  std::vector<Object> put;
  std::vector<std::string> remove;

  bool Empty() const { return put.empty() && remove.empty(); }
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_CHANGE_H_
