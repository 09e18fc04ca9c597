// Responses of the fakes as functions of the request, so that the client
// detects a partial response, one of mixed weights, of another request, or a
// repeated one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chalkwell::standins {

/// @brief Output token of an engine.
/// @param weights hexadecimal digest of the weights.
/// @param request id of the request.
/// @param index of the token, from 0.
[[nodiscard]] std::string ResponseToken(std::string_view prompt,
                                        std::string_view weights,
                                        std::string_view request,
                                        std::uint64_t index);
/// @brief Receipt of a plain service for a request.
/// @param request id of the request.
[[nodiscard]] std::string Receipt(std::string_view body,
                                  std::string_view request);

}  // namespace chalkwell::standins
