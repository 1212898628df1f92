#ifndef CLEMENTINERILL_FAKES_PLATFORM_PUT_CONDITION_H_
#define CLEMENTINERILL_FAKES_PLATFORM_PUT_CONDITION_H_

#include <cstdint>
#include <optional>

namespace clementinerill {

/// @brief Precondition of a write to the fake object store.
///
/// Without a value the write is unconditional. Zero (`If-None-Match: *`)
/// requires that the object doesn't exist; any other value (`If-Match`)
/// requires that version.
struct PutCondition {
  std::optional<uint64_t> version_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_PUT_CONDITION_H_
