#include "config/signing.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "framework/base/error.h"

namespace carobmast::config {
namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kSignatureBytes = 64;

using Bytes = std::vector<unsigned char>;
using KeyPointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using ContextPointer = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

[[noreturn]] void Fail(const std::string& reason) {
  throw Error("key", "local", reason);
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  return -1;
}

// Returns no bytes when `hex` is not `size` bytes as lower-case hexadecimal
// digits.
Bytes FromHex(const std::string& hex, std::size_t size) {
  if (hex.size() != 2 * size) return {};
  Bytes bytes;
  bytes.reserve(size);
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const int high = HexValue(hex[i]);
    const int low = HexValue(hex[i + 1]);
    if (high < 0 || low < 0) return {};
    bytes.push_back(static_cast<unsigned char>(high * 16 + low));
  }
  return bytes;
}

std::string ToHex(const Bytes& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * bytes.size());
  for (const unsigned char byte : bytes) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xF]);
  }
  return text;
}

const unsigned char* Data(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

KeyPointer PrivateKey(const std::string& hex) {
  const Bytes raw = FromHex(hex, kKeyBytes);
  if (raw.empty()) Fail("expected 64 lower-case hexadecimal digits");
  KeyPointer key(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                              raw.data(), raw.size()),
                 EVP_PKEY_free);
  if (key == nullptr) Fail("libcrypto refuses the private key");
  return key;
}

// Returns the raw public or private key, depending on the libcrypto getter.
Bytes RawKey(EVP_PKEY* key,
             int (*get)(const EVP_PKEY*, unsigned char*, std::size_t*)) {
  Bytes raw(kKeyBytes);
  std::size_t size = raw.size();
  if (get(key, raw.data(), &size) != 1) Fail("libcrypto has no raw key");
  return raw;
}

}  // namespace

KeyPair GenerateKeyPair() {
  const KeyPointer key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"),
                       EVP_PKEY_free);
  if (key == nullptr) Fail("libcrypto makes no key");
  return {.private_key = ToHex(RawKey(key.get(), EVP_PKEY_get_raw_private_key)),
          .public_key = ToHex(RawKey(key.get(), EVP_PKEY_get_raw_public_key))};
}

std::string PublicKeyOf(const std::string& private_key) {
  const KeyPointer key = PrivateKey(private_key);
  return ToHex(RawKey(key.get(), EVP_PKEY_get_raw_public_key));
}

std::string Sign(const std::string& private_key, const std::string& text) {
  const KeyPointer key = PrivateKey(private_key);
  const ContextPointer context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  Bytes signature(kSignatureBytes);
  std::size_t size = signature.size();
  const bool done = EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr,
                                       key.get()) == 1 &&
                    EVP_DigestSign(context.get(), signature.data(), &size,
                                   Data(text), text.size()) == 1;
  if (!done) Fail("libcrypto does not sign");
  return ToHex(signature);
}

bool Verify(const std::string& public_key, const std::string& text,
            const std::string& signature) {
  const Bytes raw_key = FromHex(public_key, kKeyBytes);
  const Bytes raw_signature = FromHex(signature, kSignatureBytes);
  if (raw_key.empty() || raw_signature.empty()) return false;
  const KeyPointer key(
      EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, raw_key.data(),
                                  raw_key.size()),
      EVP_PKEY_free);
  if (key == nullptr) return false;
  const ContextPointer context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  return EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                              key.get()) == 1 &&
         EVP_DigestVerify(context.get(), raw_signature.data(),
                          raw_signature.size(), Data(text), text.size()) == 1;
}

std::string SignedText(const PublishRecord& record) {
  return "carobmast publish\nrules " + std::to_string(record.rules) +
         "\nbase " + std::to_string(record.base) + "\npublisher " +
         record.publisher + "\ndigest " + record.digest + "\n";
}

std::string PublisherRefusalReason(const ObjectSet& set,
                                   const PublishRecord& record) {
  const std::map<std::string, Publisher>& publishers = set.objects().publishers;
  if (publishers.empty()) return "";
  const auto publisher = publishers.find(record.publisher);
  if (publisher == publishers.end()) {
    return "the set in force names no publisher '" + record.publisher + "'";
  }
  if (!Verify(publisher->second.key, SignedText(record), record.signature)) {
    return "not signed with the key of publisher '" + record.publisher + "'";
  }
  return "";
}

}  // namespace carobmast::config
