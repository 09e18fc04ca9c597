// Strongly typed identifiers; identifiers of different kinds do not convert.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief An opaque name, comparable only with names of the same kind.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& value() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  friend bool operator==(const Identifier&, const Identifier&) = default;
  friend auto operator<=>(const Identifier&, const Identifier&) = default;

 private:
  std::string value_;
};

struct InstanceTag {};
struct FailureDomainTag {};
struct ClientAccountTag {};
struct RegionTag {};
struct RoleTag {};

/// @brief Name of an instance (entry or endpoint) in the published list.
using InstanceId = Identifier<InstanceTag>;
using FailureDomainId = Identifier<FailureDomainTag>;
using ClientAccountId = Identifier<ClientAccountTag>;
/// @brief Name of a region, a group of failure domains. Rules may restrict
/// where data is processed to some regions.
using RegionId = Identifier<RegionTag>;
/// @brief Kind of work of an endpoint, to which routes and bundles refer; not a
/// membership role such as watcher or reader.
using Role = Identifier<RoleTag>;

}  // namespace chalkwell::core

template <typename Tag>
struct std::hash<chalkwell::core::Identifier<Tag>> {
  std::size_t operator()(
      const chalkwell::core::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
