#ifndef CLEMENTINERILL_PEER_FIELD_WRITER_H_
#define CLEMENTINERILL_PEER_FIELD_WRITER_H_

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "membership/advisory.h"
#include "peer/report_entry.h"

namespace clementinerill {

/// @brief Field visitor that appends the fields of a message to its body array.
class FieldWriter {
 public:
  template <typename T>
  void operator()(const char* /*name*/, const T& value) {
    body_.push_back(value);
  }
  void operator()(const char* name, AdvisoryKind value);
  void operator()(const char* name, const std::vector<Advisory>& value);
  void operator()(const char* name, const std::vector<ReportEntry>& value);

  [[nodiscard]] nlohmann::json TakeBody() { return std::move(body_); }

 private:
  nlohmann::json body_ = nlohmann::json::array();
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FIELD_WRITER_H_
