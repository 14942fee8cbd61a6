// Content digests and random identifiers.
#ifndef CAROBMAST_FRAMEWORK_BASE_DIGEST_H_
#define CAROBMAST_FRAMEWORK_BASE_DIGEST_H_

#include <string>
#include <string_view>

namespace carobmast {

// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits. Throws
// Error (step "digest") when libcrypto fails.
std::string Sha256Hex(std::string_view data);

// Returns 128 random bits from libcrypto as 32 lower-case hexadecimal digits,
// for record ids. Throws Error (step "random id") when the random number
// generator fails.
std::string RandomId();

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_DIGEST_H_
