// Rendezvous hashing: every process ranks the same nodes for a key in the same
// order.
#ifndef CAROBMAST_WORK_INTERNAL_RENDEZVOUS_H_
#define CAROBMAST_WORK_INTERNAL_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobmast::work {

// The score of a node for a key, identical in every process and build (FNV-1a
// with a final mix).
std::uint64_t RendezvousScore(std::string_view key, std::string_view node);

// Number of `nodes` that rank before `self` for `key`.
std::size_t RendezvousRank(std::string_view key, std::string_view self,
                           const std::vector<std::string>& nodes);

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_RENDEZVOUS_H_
