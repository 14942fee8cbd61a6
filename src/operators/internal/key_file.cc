#include "operators/internal/key_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "config/signing.h"
#include "framework/base/error.h"

namespace carobmast::operators::internal {

void WriteKeyFile(const std::string& path, const std::string& private_key) {
  const int file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR);
  if (file < 0) {
    throw Error("settings", path,
                "can't create the file, or it exists already");
  }
  const std::string text = private_key + "\n";
  const ssize_t written = write(file, text.data(), text.size());
  const bool closed = close(file) == 0;
  if (!closed || written != static_cast<ssize_t>(text.size())) {
    throw Error("settings", path, "can't write the file");
  }
}

std::function<std::string(const std::string& text)> MakeSigner(
    const std::string& path) {
  if (path.empty()) return nullptr;
  std::ifstream stream(path);
  std::string key;
  if (!(stream >> key)) {
    throw Error("settings", path, "can't read the file, or it holds no key");
  }
  try {
    config::PublicKeyOf(key);
  } catch (const Error& error) {
    throw Error("settings", path, error.reason());
  }
  return [key](const std::string& text) { return config::Sign(key, text); };
}

}  // namespace carobmast::operators::internal
