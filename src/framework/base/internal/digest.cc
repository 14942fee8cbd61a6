#include "framework/base/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

#include "framework/base/error.h"

namespace carobmast {
namespace {

std::string Hex(const unsigned char* data, std::size_t size) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * size);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[data[i] >> 4]);
    text.push_back(kDigits[data[i] & 0xF]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    throw Error("digest", "local", "libcrypto could not compute SHA-256");
  }
  return Hex(digest.data(), size);
}

std::string RandomId() {
  std::array<unsigned char, 16> random{};
  if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1) {
    throw Error("random id", "local",
                "the random number generator of libcrypto failed");
  }
  return Hex(random.data(), random.size());
}

}  // namespace carobmast
