// Signs publishes with Ed25519 (libcrypto) and verifies that the signer is a
// publisher of the set.
#ifndef CAROBMAST_CONFIG_SIGNING_H_
#define CAROBMAST_CONFIG_SIGNING_H_

#include <string>

#include "config/object_set.h"
#include "config/record.h"

namespace carobmast::config {

// An Ed25519 key pair; both keys as 64 lower-case hexadecimal digits.
struct KeyPair {
  std::string private_key;
  std::string public_key;
};

// Throws Error (step "key") when libcrypto fails.
KeyPair GenerateKeyPair();

// Returns the public key of a private key. Throws Error (step "key") when the
// key is malformed.
std::string PublicKeyOf(const std::string& private_key);

// Returns the signature as 128 lower-case hexadecimal digits. Throws Error
// (step "key") when the key is malformed or libcrypto fails.
std::string Sign(const std::string& private_key, const std::string& text);

// Whether `signature` is a signature of `text` by that key. False when the key
// or the signature is malformed.
bool Verify(const std::string& public_key, const std::string& text,
            const std::string& signature);

// The text that is signed for a publish. It needs no list of changed objects:
// the base and the digest of the resulting set determine the change.
std::string SignedText(const PublishRecord& record);

// Returns why the record's publisher may not change the set; empty when the set
// has no publishers or the record is signed by the one it names. Part of rule
// version 1.
std::string PublisherRefusalReason(const ObjectSet& set,
                                   const PublishRecord& record);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_SIGNING_H_
