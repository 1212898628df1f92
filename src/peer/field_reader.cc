#include "peer/field_reader.h"

#include "peer/message_fields.h"

namespace clementinerill {

const nlohmann::json* FieldReader::NextField(const char* name) {
  if (!error_.empty()) {
    return nullptr;
  }
  if (next_index_ >= body_.size()) {
    SetError(name, "present");
    return nullptr;
  }
  return &body_[next_index_++];
}

void FieldReader::SetError(const char* name, const char* expected) {
  if (error_.empty()) {
    error_ = std::string("field '") + name + "' must be " + expected;
  }
}

std::string FieldReader::Finish() {
  if (error_.empty() && next_index_ != body_.size()) {
    error_ = "there are more fields than expected";
  }
  return error_;
}

void FieldReader::Read(const char* name,
                       const nlohmann::json& field,
                       std::string& value) {
  if (!field.is_string()) {
    SetError(name, "a string");
    return;
  }
  value = field.get<std::string>();
}

void FieldReader::Read(const char* name,
                       const nlohmann::json& field,
                       bool& value) {
  if (!field.is_boolean()) {
    SetError(name, "true or false");
    return;
  }
  value = field.get<bool>();
}

void FieldReader::Read(const char* name,
                       const nlohmann::json& field,
                       AdvisoryKind& value) {
  std::string text;
  Read(name, field, text);
  const auto kind = ValueOf(kAdvisoryKindNames, text);
  if (!kind) {
    SetError(name, "a known kind");
    return;
  }
  value = *kind;
}

template <typename T>
void FieldReader::ReadStruct(const char* name,
                             const nlohmann::json& item,
                             T& value) {
  if (!item.is_array()) {
    SetError(name, "an array of arrays");
    return;
  }
  FieldReader reader(item);
  VisitFields(value, reader);
  const std::string error = reader.Finish();
  if (!error.empty() && error_.empty()) {
    error_ = std::string("in '") + name + "': " + error;
  }
}

void FieldReader::ReadItem(const char* name,
                           const nlohmann::json& item,
                           Advisory& value) {
  ReadStruct(name, item, value);
}

void FieldReader::ReadItem(const char* name,
                           const nlohmann::json& item,
                           ReportEntry& value) {
  ReadStruct(name, item, value);
}

}  // namespace clementinerill
