#include "config/json_reader.h"

#include <utility>

namespace clementinerill {

using nlohmann::json;

JsonReader::JsonReader(const json& object,
                       std::string pointer,
                       std::vector<Error>& errors)
    : object_(object), pointer_(std::move(pointer)), errors_(errors) {
  if (!object_.is_object()) {
    errors_.push_back(Error{"must be an object", {pointer_, 0, 0}});
  }
}

std::string JsonReader::String(const std::string& key) {
  const json* value = Find(key);
  if (value == nullptr || !value->is_string() ||
      value->get_ref<const std::string&>().empty()) {
    Report(key, "must be a non-empty string");
    return {};
  }
  return value->get<std::string>();
}

std::string JsonReader::OptionalString(const std::string& key) {
  const json* value = Find(key);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    Report(key, "must be a string");
    return {};
  }
  return value->get<std::string>();
}

int JsonReader::Integer(const std::string& key,
                        int fallback,
                        int min,
                        int max) {
  const json* value = Find(key);
  const bool fallback_in_range = fallback >= min && fallback <= max;
  if (value == nullptr && fallback_in_range) {
    return fallback;
  }
  const bool in_range = value != nullptr && value->is_number_integer() &&
                        *value >= min && *value <= max;
  if (!in_range) {
    Report(key, "must be a whole number from " + std::to_string(min) + " to " +
                    std::to_string(max));
    return fallback;
  }
  return value->get<int>();
}

uint64_t JsonReader::Unsigned(const std::string& key, uint64_t fallback) {
  const json* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number_unsigned()) {
    Report(key, "must be a non-negative whole number");
    return fallback;
  }
  return value->get<uint64_t>();
}

bool JsonReader::Boolean(const std::string& key, bool fallback) {
  const json* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    Report(key, "must be true or false");
    return fallback;
  }
  return value->get<bool>();
}

Labels JsonReader::StringMap(const std::string& key) {
  const json* value = Find(key);
  Labels labels;
  if (value == nullptr) {
    return labels;
  }
  if (!value->is_object()) {
    Report(key, "must be an object of strings");
    return labels;
  }
  for (const auto& [name, text] : value->items()) {
    if (!text.is_string()) {
      std::string member = key;
      member.append("/").append(name);
      Report(member, "must be a string");
      continue;
    }
    labels[name] = text.get<std::string>();
  }
  return labels;
}

void JsonReader::RejectUnknownKeys() {
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [key, value] : object_.items()) {
    if (known_keys_.count(key) == 0) {
      Report(key, "is not a known key");
    }
  }
}

const json* JsonReader::Find(const std::string& key) {
  known_keys_.insert(key);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto found = object_.find(key);
  return found == object_.end() ? nullptr : &*found;
}

const json* JsonReader::Array(const std::string& key) {
  const json* value = Find(key);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    Report(key, "must be an array");
    return nullptr;
  }
  return value;
}

void JsonReader::Report(const std::string& key, std::string description) {
  errors_.push_back(
      Error{std::move(description), {pointer_ + "/" + key, 0, 0}});
}

}  // namespace clementinerill
