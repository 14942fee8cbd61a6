// Content digests.
#ifndef CAROBMAST_FRAMEWORK_BASE_DIGEST_H_
#define CAROBMAST_FRAMEWORK_BASE_DIGEST_H_

#include <string>
#include <string_view>

namespace carobmast {

// SHA-256 of `data` as 64 lower-case hexadecimal digits (libcrypto).
std::string Sha256Hex(std::string_view data);

// 128 random bits as 32 lower-case hexadecimal digits (libcrypto), for record
// ids. Throws Error when the system has no randomness to give.
std::string RandomId();

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_DIGEST_H_
