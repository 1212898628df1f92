#include "organisations/directory.h"

#include <algorithm>
#include <utility>

namespace clementinerill::organisations {
namespace {

// Bytes that the value of a header may contain, RFC 9110 section 5.5.
bool IsFieldByte(char byte) {
  const auto value = static_cast<unsigned char>(byte);
  return (value >= 0x20 && value != 0x7f) || value == '\t';
}

bool IsSpace(char byte) {
  return byte == ' ' || byte == '\t';
}

// Whether a header can carry the name unchanged: recipients remove spaces at
// both ends of a value.
bool IsFieldValue(const std::string& name) {
  return std::all_of(name.begin(), name.end(), IsFieldByte) &&
         !IsSpace(name.front()) && !IsSpace(name.back());
}

bool IsKeyByte(char byte) {
  const auto value = static_cast<unsigned char>(byte);
  return value >= 0x21 && value <= 0x7e;
}

Result<void> CheckName(const Directory& directory, const std::string& name) {
  if (name.empty()) {
    return Fail("its name is empty");
  }
  if (!IsFieldValue(name)) {
    return Fail("its name contains bytes that a header cannot carry");
  }
  const auto known = directory.by_name_.find(name);
  if (known != directory.by_name_.end()) {
    return Fail("its name is that of organisation " +
                std::to_string(known->second));
  }
  return {};
}

Result<void> AddKey(Directory& directory,
                    size_t organisation,
                    const std::string& key,
                    size_t index) {
  const std::string place = "key " + std::to_string(index);
  if (key.empty()) {
    return Fail(place + " is empty");
  }
  if (!std::all_of(key.begin(), key.end(), IsKeyByte)) {
    return Fail(place + " contains bytes outside 0x21 to 0x7e");
  }
  const KeyDigest digest = DigestOf(key, directory.secret_);
  const auto [known, added] = directory.by_key_.emplace(digest, organisation);
  if (!added) {
    return Fail(place + (known->second == organisation
                             ? " occurs twice"
                             : " is a key of organisation " +
                                   std::to_string(known->second) + " too"));
  }
  directory.organisations_[organisation].keys_.insert(digest);
  return {};
}

}  // namespace

Result<void> AddOrganisation(Directory& directory,
                             std::string name,
                             int priority,
                             const std::vector<std::string>& keys) {
  auto valid = CheckName(directory, name);
  if (!valid) {
    return valid;
  }
  const size_t organisation = directory.organisations_.size();
  directory.by_name_.emplace(name, organisation);
  directory.organisations_.push_back({std::move(name), priority, {}});
  for (size_t i = 0; i < keys.size(); ++i) {
    auto added = AddKey(directory, organisation, keys[i], i);
    if (!added) {
      return added;
    }
  }
  return {};
}

const Organisation* FindByKey(const Directory& directory,
                              const KeyDigest& key) noexcept {
  const auto found = directory.by_key_.find(key);
  return found == directory.by_key_.end()
             ? nullptr
             : &directory.organisations_[found->second];
}

const Organisation* FindByName(const Directory& directory,
                               std::string_view name) noexcept {
  const auto found = directory.by_name_.find(name);
  return found == directory.by_name_.end()
             ? nullptr
             : &directory.organisations_[found->second];
}

}  // namespace clementinerill::organisations
