// Incremental digest of a set of objects: a hash tree (SHA-256) over the
// digests of the objects, so that a single change needs no pass over the whole
// set.
#ifndef CAROBMAST_CONFIG_SET_DIGEST_H_
#define CAROBMAST_CONFIG_SET_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobmast::config {

using RawDigest = std::array<std::uint8_t, 32>;

// SHA-256 of `data`. Throws Error (step "digest") when libcrypto fails.
RawDigest Sha256(std::string_view data);

// A leaf covers the sorted digests that begin with the same 12 bits, a group
// covers 64 leaves, and the root covers the 64 groups and the number of
// objects. The layout is part of rule version 1.
class SetDigest {
 public:
  SetDigest();

  // The digest must not be in the set yet. Objects of a set have distinct
  // digests, because their names differ.
  void Add(const RawDigest& object);
  // Throws Error (step "digest") when the digest is not in the set.
  void Remove(const RawDigest& object);

  // The root as 64 lower-case hexadecimal digits. Recomputes only the parts of
  // the tree that have changed.
  std::string Hex() const;

 private:
  static constexpr std::size_t kGroups = 64;
  static constexpr std::size_t kLeavesPerGroup = 64;

  void UpdateGroup(std::size_t group) const;

  std::size_t count_ = 0;
  std::vector<std::vector<RawDigest>> leaves_;
  mutable std::vector<RawDigest> leaf_digests_;
  mutable std::vector<RawDigest> group_digests_;
  mutable std::vector<bool> leaf_changed_;
  mutable std::vector<bool> group_changed_;
  mutable std::string root_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_SET_DIGEST_H_
