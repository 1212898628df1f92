#include "admin/document_diff.h"

#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "config/configuration_json.h"

namespace clementinerill {
namespace {

using nlohmann::json;

using Leaves = std::map<std::string, std::string>;

std::string EscapePointerToken(const std::string& token) {
  std::string escaped;
  for (const char c : token) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

void CollectLeaves(const json& value,
                   const std::string& pointer,
                   Leaves& leaves) {
  if (value.is_array()) {
    for (const json& item : value) {
      CollectLeaves(item, pointer + "/" + EscapePointerToken(item.at("name")),
                    leaves);
    }
    return;
  }
  if (!value.is_object()) {
    leaves[pointer] = value.dump();
    return;
  }
  for (const auto& [key, member] : value.items()) {
    CollectLeaves(member, pointer + "/" + EscapePointerToken(key), leaves);
  }
}

Leaves LeavesOf(const Configuration& configuration) {
  json document = json::parse(ToJsonText(configuration));
  document.erase("version");
  document.erase("change_id");
  Leaves leaves;
  CollectLeaves(document, "", leaves);
  return leaves;
}

std::string FormatLine(char sign, const Leaves::value_type& leaf) {
  return sign + leaf.first + ": " + leaf.second + "\n";
}

}  // namespace

std::string DiffDocuments(const Configuration& before,
                          const Configuration& after) {
  const Leaves old_leaves = LeavesOf(before);
  const Leaves new_leaves = LeavesOf(after);
  std::set<std::string> pointers;
  for (const auto& [pointer, value] : old_leaves) {
    pointers.insert(pointer);
  }
  for (const auto& [pointer, value] : new_leaves) {
    pointers.insert(pointer);
  }
  std::string lines;
  for (const std::string& pointer : pointers) {
    const auto old_leaf = old_leaves.find(pointer);
    const auto new_leaf = new_leaves.find(pointer);
    const bool in_old = old_leaf != old_leaves.end();
    const bool in_new = new_leaf != new_leaves.end();
    if (in_old && in_new && old_leaf->second == new_leaf->second) {
      continue;
    }
    lines += in_old ? FormatLine('-', *old_leaf) : "";
    lines += in_new ? FormatLine('+', *new_leaf) : "";
  }
  if (lines.empty()) {
    return lines;
  }
  return "--- version " + std::to_string(before.version_) + "\n+++ version " +
         std::to_string(after.version_) + "\n" + lines;
}

}  // namespace clementinerill
