#include "config/set_digest.h"

#include <openssl/evp.h>

#include <algorithm>

#include "framework/base/error.h"

namespace carobmast::config {
namespace {

constexpr char kRootLabel[] = "carobmast set 1\n";

std::size_t LeafOf(const RawDigest& digest) {
  return (std::size_t{digest[0]} << 4) | (digest[1] >> 4);
}

void Append(std::string& text, const RawDigest& digest) {
  text.append(reinterpret_cast<const char*>(digest.data()), digest.size());
}

std::string ToHex(const RawDigest& digest) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (const std::uint8_t byte : digest) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xF]);
  }
  return text;
}

}  // namespace

RawDigest Sha256(std::string_view data) {
  RawDigest digest{};
  unsigned int size = 0;
  if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    throw Error("digest", "local", "libcrypto could not compute SHA-256");
  }
  return digest;
}

SetDigest::SetDigest()
    : leaves_(kGroups * kLeavesPerGroup),
      leaf_digests_(leaves_.size(), Sha256("")),
      group_digests_(kGroups),
      leaf_changed_(leaves_.size(), false),
      group_changed_(kGroups, true) {}

void SetDigest::Add(const RawDigest& object) {
  const std::size_t index = LeafOf(object);
  std::vector<RawDigest>& leaf = leaves_[index];
  leaf.insert(std::lower_bound(leaf.begin(), leaf.end(), object), object);
  ++count_;
  leaf_changed_[index] = true;
  group_changed_[index / kLeavesPerGroup] = true;
  root_.clear();
}

void SetDigest::Remove(const RawDigest& object) {
  const std::size_t index = LeafOf(object);
  std::vector<RawDigest>& leaf = leaves_[index];
  const auto found = std::lower_bound(leaf.begin(), leaf.end(), object);
  if (found == leaf.end() || *found != object) {
    throw Error("digest", "local", "the object is not in the set");
  }
  leaf.erase(found);
  --count_;
  leaf_changed_[index] = true;
  group_changed_[index / kLeavesPerGroup] = true;
  root_.clear();
}

void SetDigest::UpdateGroup(std::size_t group) const {
  std::string text;
  const std::size_t first = group * kLeavesPerGroup;
  for (std::size_t i = first; i < first + kLeavesPerGroup; ++i) {
    if (leaf_changed_[i]) {
      std::string leaf_text;
      for (const RawDigest& digest : leaves_[i]) Append(leaf_text, digest);
      leaf_digests_[i] = Sha256(leaf_text);
      leaf_changed_[i] = false;
    }
    Append(text, leaf_digests_[i]);
  }
  group_digests_[group] = Sha256(text);
  group_changed_[group] = false;
}

std::string SetDigest::Hex() const {
  if (!root_.empty()) return root_;
  std::string text = kRootLabel + std::to_string(count_) + "\n";
  for (std::size_t group = 0; group < kGroups; ++group) {
    if (group_changed_[group]) UpdateGroup(group);
    Append(text, group_digests_[group]);
  }
  root_ = ToHex(Sha256(text));
  return root_;
}

}  // namespace carobmast::config
