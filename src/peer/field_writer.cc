#include "peer/field_writer.h"

#include "peer/message_fields.h"

namespace clementinerill {
namespace {

template <typename T>
nlohmann::json WriteItems(const std::vector<T>& items) {
  auto array = nlohmann::json::array();
  for (const T& item : items) {
    FieldWriter writer;
    VisitFields(item, writer);
    array.push_back(writer.TakeBody());
  }
  return array;
}

}  // namespace

void FieldWriter::operator()(const char* /*name*/, AdvisoryKind value) {
  body_.push_back(std::string(NameOf(kAdvisoryKindNames, value)));
}

void FieldWriter::operator()(const char* /*name*/,
                             const std::vector<Advisory>& value) {
  body_.push_back(WriteItems(value));
}

void FieldWriter::operator()(const char* /*name*/,
                             const std::vector<ReportEntry>& value) {
  body_.push_back(WriteItems(value));
}

}  // namespace clementinerill
