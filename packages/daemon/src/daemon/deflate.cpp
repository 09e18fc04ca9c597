// One-shot compression with zlib.
#include "daemon/deflate.hpp"

#include <zlib.h>

#include "chalkwell/core/error.hpp"

namespace chalkwell::daemon {

std::string Deflate(std::string_view bytes) {
  auto size = compressBound(bytes.size());
  std::string deflated(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(deflated.data()), &size,
                               reinterpret_cast<const Bytef*>(bytes.data()),
                               bytes.size(), Z_DEFAULT_COMPRESSION);
  if (result != Z_OK) {
    throw core::Error(core::Step::kParse, "", "bytes cannot be deflated");
  }
  deflated.resize(size);
  return deflated;
}

std::optional<std::string> Inflate(std::string_view deflated,
                                   std::size_t size) {
  auto length = static_cast<uLongf>(size);
  std::string bytes(size, '\0');
  const int result = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &length,
                                reinterpret_cast<const Bytef*>(deflated.data()),
                                static_cast<uLong>(deflated.size()));
  if (result != Z_OK || length != size) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace chalkwell::daemon
