#include "platform/vm_list_json.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;

Result<Vm> ParseVm(const json& entry, size_t index) {
  const SourcePosition position{"/" + std::to_string(index), 0, 0};
  try {
    Vm vm;
    vm.name_ = entry.at("name").get<std::string>();
    vm.address_ = entry.at("address").get<std::string>();
    vm.failure_domain_ = entry.value("failure_domain", "");
    const std::string state = entry.value("state", "live");
    const auto known_state = ValueOf(kVmStateNames, state);
    if (!known_state) {
      return tl::make_unexpected(
          Error{"state '" + state + "' is not live or leaving", position});
    }
    vm.state_ = *known_state;
    return vm;
  } catch (const json::exception&) {
    return tl::make_unexpected(
        Error{"must be an object with name and address", position});
  }
}

}  // namespace

Result<std::vector<Vm>> ParseVmList(const std::string& text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_array()) {
    return Fail("the VM list must be a JSON array");
  }
  std::vector<Vm> vms;
  for (size_t i = 0; i < document.size(); ++i) {
    Result<Vm> vm = ParseVm(document[i], i);
    if (!vm) {
      return tl::make_unexpected(std::move(vm.error()));
    }
    vms.push_back(std::move(*vm));
  }
  return vms;
}

}  // namespace clementinerill
