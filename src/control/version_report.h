#ifndef CLEMENTINERILL_CONTROL_VERSION_REPORT_H_
#define CLEMENTINERILL_CONTROL_VERSION_REPORT_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief What one live daemon reports about its configuration.
struct VersionReport {
  std::string daemon_;
  uint64_t version_ = 0;          ///< In force; 0 when there is none.
  uint64_t invalid_version_ = 0;  ///< Could not be applied; 0 when none.
  std::string invalid_reason_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_VERSION_REPORT_H_
