// Who may publish: Ed25519 signatures (libcrypto) over publishes.
#ifndef CAROBMAST_CONFIG_SIGNING_H_
#define CAROBMAST_CONFIG_SIGNING_H_

#include <string>

#include "config/object_set.h"
#include "config/record.h"

namespace carobmast::config {

// Both as 64 lower-case hexadecimal digits.
struct KeyPair {
  std::string private_key;
  std::string public_key;
};

// Throws Error (step "key") when libcrypto fails.
KeyPair GenerateKeyPair();

// Throws Error (step "key") when the key is malformed.
std::string PublicKeyOf(const std::string& private_key);

// The signature as 128 lower-case hexadecimal digits. Throws Error (step "key")
// when the key is malformed.
std::string Sign(const std::string& private_key, const std::string& text);

bool Verify(const std::string& public_key, const std::string& text,
            const std::string& signature);

// What the signature of a publish covers: base and digest of the whole result
// determine the change.
std::string SignedText(const PublishRecord& record);

// Empty when the set has no publishers, or when the record is signed by one of
// them; else the reason. Part of rule version 1.
std::string PublisherRefusalReason(const ObjectSet& set,
                                   const PublishRecord& record);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_SIGNING_H_
