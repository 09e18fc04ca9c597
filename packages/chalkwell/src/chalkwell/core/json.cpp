// Checked access to the fields of JSON documents.
#include "chalkwell/core/json.hpp"

#include "chalkwell/core/error.hpp"

namespace chalkwell::core::internal {

void ThrowFieldError(const std::string& field, const std::string& rule) {
  throw Error(Step::kParse, "", "field '" + field + "' " + rule);
}

nlohmann::json ParseObject(std::string_view text,
                           const std::string& document_kind) {
  auto root = nlohmann::json::parse(text, nullptr, false);
  if (root.is_discarded()) {
    ThrowFieldError(document_kind, "must be well-formed JSON");
  }
  if (!root.is_object()) {
    ThrowFieldError(document_kind, "must be a JSON object");
  }
  return root;
}

namespace {

const nlohmann::json& Require(const nlohmann::json& object,
                              const std::string& field) {
  if (!object.is_object()) {
    ThrowFieldError(
        field,
        "cannot be read: the value that should contain it is not a JSON "
        "object");
  }
  const auto found = object.find(field);
  if (found == object.end()) {
    ThrowFieldError(field, "is missing; add it");
  }
  return *found;
}

}  // namespace

std::string RequireString(const nlohmann::json& object,
                          const std::string& field) {
  const auto& value = Require(object, field);
  if (!value.is_string()) {
    ThrowFieldError(field, "must be a string");
  }
  if (value.get_ref<const std::string&>().empty()) {
    ThrowFieldError(field, "must not be empty");
  }
  return value.get<std::string>();
}

std::uint64_t RequireUnsigned(const nlohmann::json& object,
                              const std::string& field) {
  const auto& value = Require(object, field);
  if (!value.is_number_unsigned()) {
    ThrowFieldError(field, "must be a whole number of at least 0");
  }
  return value.get<std::uint64_t>();
}

const nlohmann::json& RequireArray(const nlohmann::json& object,
                                   const std::string& field) {
  const auto& value = Require(object, field);
  if (!value.is_array()) {
    ThrowFieldError(field, "must be an array");
  }
  return value;
}

bool OptionalFlag(const nlohmann::json& object, const std::string& field,
                  bool fallback) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return fallback;
  }
  if (!found->is_boolean()) {
    ThrowFieldError(field, "must be true or false");
  }
  return found->get<bool>();
}

}  // namespace chalkwell::core::internal
