// Reading and writing of whole files.
#include "cli/files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "chalkwell/core/error.hpp"

namespace chalkwell::cli {

std::string ReadFile(const std::string& path) {
  std::error_code error;
  if (!std::filesystem::is_regular_file(path, error)) {
    throw core::Error(core::Step::kParse, path, "is not a regular file");
  }
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw core::Error(core::Step::kParse, path, "cannot be read");
  }
  return text.str();
}

void WriteFile(const std::string& path, std::string_view content,
               std::uint32_t mode) {
  const std::string temporary = path + ".part";
  ::unlink(temporary.c_str());
  const int file =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  bool written = file >= 0;
  while (written && !content.empty()) {
    const auto size = ::write(file, content.data(), content.size());
    written = size > 0;
    content.remove_prefix(written ? static_cast<std::size_t>(size) : 0);
  }
  if (file >= 0) {
    written = ::close(file) == 0 && written;
  }
  std::error_code error;
  if (written) {
    std::filesystem::rename(temporary, path, error);
  }
  if (!written || error) {
    throw core::Error(core::Step::kSend, path, "cannot be written");
  }
}

}  // namespace chalkwell::cli
