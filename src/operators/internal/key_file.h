// Files that hold a publisher's private key.
#ifndef CAROBMAST_OPERATORS_INTERNAL_KEY_FILE_H_
#define CAROBMAST_OPERATORS_INTERNAL_KEY_FILE_H_

#include <functional>
#include <string>

namespace carobmast::operators::internal {

// Writes a new file that only its owner can read. Throws Error (step
// "settings") when there is one already or it can't be written.
void WriteKeyFile(const std::string& path, const std::string& private_key);

// Signs with the key in the file; empty when `path` is empty. Throws Error
// (step "settings") when the file holds no key.
std::function<std::string(const std::string& text)> MakeSigner(
    const std::string& path);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_KEY_FILE_H_
