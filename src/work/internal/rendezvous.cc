#include "work/internal/rendezvous.h"

#include <algorithm>

namespace carobmast::work {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t HashFnv(std::uint64_t hash, std::string_view text) {
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return hash;
}

std::uint64_t Mix(std::uint64_t hash) {
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

}  // namespace

std::uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  return Mix(HashFnv(HashFnv(HashFnv(kFnvOffset, key), "|"), node));
}

std::size_t RendezvousRank(std::string_view key, std::string_view self,
                           const std::vector<std::string>& nodes) {
  const std::uint64_t own_score = RendezvousScore(key, self);
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [&](const std::string& node) {
        const std::uint64_t other_score = RendezvousScore(key, node);
        return other_score > own_score ||
               (other_score == own_score && node < self);
      }));
}

}  // namespace carobmast::work
