// Rendezvous hashing: every process ranks the same nodes for a key alike.
#ifndef CAROBMAST_WORK_INTERNAL_RENDEZVOUS_H_
#define CAROBMAST_WORK_INTERNAL_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobmast::work {

// The same in every process and build (FNV-1a with a final mix).
std::uint64_t RendezvousScore(std::string_view key, std::string_view node);

// How many of `nodes` come before `self` for `key`.
std::size_t RendezvousRank(std::string_view key, std::string_view self,
                           const std::vector<std::string>& nodes);

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_RENDEZVOUS_H_
