// A difference between two configuration sets.
#ifndef CAROBMAST_CONFIG_TYPES_CHANGE_H_
#define CAROBMAST_CONFIG_TYPES_CHANGE_H_

#include <string>
#include <vector>

#include "config/types/objects.h"

namespace carobmast::config {

// Objects to add or replace and names of objects to remove. No name occurs
// twice, counting both lists.
struct Change {
  std::vector<Object> put;
  std::vector<std::string> remove;

  bool Empty() const { return put.empty() && remove.empty(); }
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_CHANGE_H_
