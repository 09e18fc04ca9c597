// zlib compression of large messages between processes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chalkwell::daemon {

/// @brief Compresses bytes.
/// @return them in the zlib format, which carries a checksum.
/// @throws core::Error when zlib cannot allocate memory.
[[nodiscard]] std::string Deflate(std::string_view bytes);

/// @brief Decompresses the output of Deflate.
/// @param size uncompressed length in bytes. That much memory is allocated, so
/// the caller checks it against a limit first.
/// @return nothing when the input is corrupt or its uncompressed length is not
/// exactly `size`.
[[nodiscard]] std::optional<std::string> Inflate(std::string_view deflated,
                                                 std::size_t size);

}  // namespace chalkwell::daemon
