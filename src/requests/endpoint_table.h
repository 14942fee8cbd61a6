// The instances of all services, merged from the lists of several schedulers.
#ifndef CAROBMAST_REQUESTS_ENDPOINT_TABLE_H_
#define CAROBMAST_REQUESTS_ENDPOINT_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "requests/types/instance.h"

namespace carobmast::requests {

// The complete list of one cell's instances, from the cell's owner.
struct CellInstances {
  std::string cell;
  contracts::FencingToken token = 0;
  std::vector<Instance> instances;
};

class EndpointTable {
 public:
  // Merges the lists of one answer. A list whose fencing token is lower than
  // that of the list held comes from a former owner of the cell and is ignored.
  // Cells without a list keep their instances. Returns whether anything
  // changed.
  bool Take(const std::vector<CellInstances>& lists);

  std::vector<Instance> All() const;
  std::size_t size() const;

 private:
  std::map<std::string, CellInstances> cells_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_ENDPOINT_TABLE_H_
