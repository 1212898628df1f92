#include "platform/change_id.h"

#include <nlohmann/json.hpp>

namespace clementinerill {

std::string ChangeIdOf(const std::string& value) {
  using nlohmann::json;
  const json document = json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return {};
  }
  const auto found = document.find("change_id");
  if (found == document.end() || !found->is_string()) {
    return {};
  }
  return found->get<std::string>();
}

}  // namespace clementinerill
