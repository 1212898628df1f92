#ifndef CLEMENTINERILL_PLATFORM_VM_LIST_JSON_H_
#define CLEMENTINERILL_PLATFORM_VM_LIST_JSON_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "platform/vm.h"

namespace clementinerill {

/// @brief Parses the response body of `GET /vms`.
///
/// The body is a JSON array of `{name, address, failure_domain, state}` with
/// `state` `live` (default) or `leaving`. Unknown members are ignored, since
/// the platform may add some. An error gives the JSON pointer of the first
/// invalid entry.
[[nodiscard]] Result<std::vector<Vm>> ParseVmList(const std::string& text);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_VM_LIST_JSON_H_
