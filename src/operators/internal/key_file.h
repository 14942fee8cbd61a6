// Files that hold a publisher's private key.
#ifndef CAROBMAST_OPERATORS_INTERNAL_KEY_FILE_H_
#define CAROBMAST_OPERATORS_INTERNAL_KEY_FILE_H_

#include <functional>
#include <string>

namespace carobmast::operators::internal {

// Writes the key to a new file that only its owner can read. Throws Error (step
// "settings") when the file exists already or can't be written.
void WriteKeyFile(const std::string& path, const std::string& private_key);

// Returns a function that signs a text with the key in the file, or an empty
// function when `path` is empty. Throws Error (step "settings") when the file
// can't be read or holds no valid key.
std::function<std::string(const std::string& text)> MakeSigner(
    const std::string& path);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_KEY_FILE_H_
