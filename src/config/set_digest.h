// Digest of a set of objects that follows single changes without a pass over
// the whole set: a tree of SHA-256 over the digests of the objects.
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

// SHA-256 of `data`.
RawDigest Sha256(std::string_view data);

// A leaf holds the sorted digests of the objects whose digests begin with the
// same 12 bits; a group covers 64 leaves; the root covers the 64 groups and the
// number of objects. The layout is part of rule version 1.
class SetDigest {
 public:
  SetDigest();

  // Each object of a set has a digest of its own, so none is added twice.
  void Add(const RawDigest& object);
  void Remove(const RawDigest& object);

  // 64 lower-case hexadecimal digits. Computes only what has changed.
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
