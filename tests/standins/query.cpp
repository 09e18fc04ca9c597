// Percent-encoding is not decoded, since no test uses it.
#include "standins/query.hpp"

#include <sstream>

namespace chalkwell::standins {

std::map<std::string, std::string> ParseQuery(const std::string& path) {
  std::map<std::string, std::string> query;
  const auto mark = path.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::istringstream stream(path.substr(mark + 1));
  for (std::string pair; std::getline(stream, pair, '&');) {
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
  }
  return query;
}

std::uint64_t NumberOf(const std::map<std::string, std::string>& query,
                       const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() || found->second.empty()
             ? 0
             : std::stoull(found->second);
}

}  // namespace chalkwell::standins
