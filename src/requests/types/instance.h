// Describes the instances of services.
#ifndef CAROBMAST_REQUESTS_TYPES_INSTANCE_H_
#define CAROBMAST_REQUESTS_TYPES_INSTANCE_H_

#include <cstdint>
#include <string>

#include "contracts/types/worker.h"

namespace carobmast::requests {

// One instance of a service, as listed by the schedulers.
struct Instance {
  std::string service;
  // Unique among the instances of the service.
  std::string name;
  // "ip:port".
  std::string address;
  std::string zone;
  // Maximum number of concurrent requests.
  std::uint32_t slots = 8;
  // Maximum number of connections, summed over all gateways.
  std::uint32_t connections = 64;
  // Whether it is about to stop; it gets no new requests.
  bool leaving = false;

  friend bool operator==(const Instance&, const Instance&) = default;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_TYPES_INSTANCE_H_
