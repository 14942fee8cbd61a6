#include "requests/endpoint_table.h"

namespace carobmast::requests {

bool EndpointTable::Take(const std::vector<CellInstances>& lists) {
  bool changed = false;
  for (const CellInstances& list : lists) {
    CellInstances& current = cells_[list.cell];
    if (list.token < current.token) continue;
    changed = changed || current.instances != list.instances;
    current = list;
  }
  return changed;
}

std::vector<Instance> EndpointTable::All() const {
  std::vector<Instance> all;
  for (const auto& [name, cell] : cells_) {
    all.insert(all.end(), cell.instances.begin(), cell.instances.end());
  }
  return all;
}

std::size_t EndpointTable::size() const {
  std::size_t total = 0;
  for (const auto& [name, cell] : cells_) total += cell.instances.size();
  return total;
}

}  // namespace carobmast::requests
