// The instances of all services, merged from the lists of several schedulers.
#ifndef CAROBMAST_REQUESTS_ENDPOINT_TABLE_H_
#define CAROBMAST_REQUESTS_ENDPOINT_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "requests/types/instance.h"

namespace carobmast::requests {

// The whole list of one cell's instances, by the cell's owner.
struct CellInstances {
  std::string cell;
  contracts::FencingToken token = 0;
  std::vector<Instance> instances;
};

class EndpointTable {
 public:
  // Takes the lists of one answer. A cell's list with a lower token than the
  // one held comes from a former owner and is ignored. Cells that no answer
  // names keep what they have. Returns whether anything changed.
  bool Take(const std::vector<CellInstances>& lists);

  std::vector<Instance> All() const;
  std::size_t size() const;

 private:
  std::map<std::string, CellInstances> cells_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_ENDPOINT_TABLE_H_
