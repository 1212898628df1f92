#include "settings/yaml_reader.h"

#include <utility>

#include "settings/nearest_key.h"

namespace clementinerill {

YamlReader::YamlReader(const YAML::Node& mapping,
                       std::string file_name,
                       std::vector<Error>& errors)
    : mark_(mapping.Mark()), file_name_(std::move(file_name)), errors_(errors) {
  if (!mapping.IsMap()) {
    ReportAt(mark_, "must be a mapping of keys to values");
    return;
  }
  for (const auto& member : mapping) {
    if (!member.first.IsScalar()) {
      ReportAt(member.first.Mark(), "a key must be a scalar");
      continue;
    }
    const std::string& key = member.first.Scalar();
    if (!values_.emplace(key, member.second).second) {
      ReportAt(member.first.Mark(), "'" + key + "' is a duplicate key");
      continue;
    }
    key_marks_.emplace(key, member.first.Mark());
  }
}

std::vector<YAML::Node> YamlReader::List(const std::string& key) {
  std::vector<YAML::Node> items;
  if (!Has(key)) {
    return items;
  }
  const YAML::Node& list = values_.at(key);
  if (!list.IsSequence()) {
    Report(key, "must be a list");
    return items;
  }
  for (const auto& item : list) {
    items.push_back(item);
  }
  return items;
}

bool YamlReader::Has(const std::string& key) {
  known_keys_.insert(key);
  return values_.count(key) > 0;
}

void YamlReader::Report(const std::string& key,
                        const std::string& description) {
  const auto found = values_.find(key);
  ReportAt(found == values_.end() ? mark_ : found->second.Mark(),
           "'" + key + "' " + description);
}

void YamlReader::RejectUnknownKeys() {
  for (const auto& [key, mark] : key_marks_) {
    if (known_keys_.count(key) == 0) {
      ReportAt(mark, "'" + key + "' is not a known key; the nearest is '" +
                         NearestKey(key, known_keys_) + "'");
    }
  }
}

std::optional<std::string> YamlReader::ScalarText(const std::string& key,
                                                  bool optional) {
  if (!Has(key)) {
    if (!optional) {
      Report(key, "is required");
    }
    return std::nullopt;
  }
  const YAML::Node& value = values_.at(key);
  if (!value.IsScalar()) {
    Report(key, "must be a scalar, not a list, a mapping or null");
    return std::nullopt;
  }
  return value.Scalar();
}

void YamlReader::ReportAt(const YAML::Mark& mark, std::string description) {
  // yaml-cpp counts lines and columns from zero; -1 means no position.
  errors_.push_back(
      Error{std::move(description),
            {file_name_, mark.line + 1, mark.line < 0 ? 0 : mark.column + 1}});
}

}  // namespace clementinerill
