#ifndef CLEMENTINERILL_FAKES_PLATFORM_PUT_CONDITION_H_
#define CLEMENTINERILL_FAKES_PLATFORM_PUT_CONDITION_H_

#include <cstdint>
#include <optional>

namespace clementinerill {

/// @brief The condition of a write to the fake store.
///
/// Without a value the write is unconditional. Zero (`If-None-Match: *`)
/// requires that the object doesn't exist, any other value (`If-Match`) that
/// it has this version.
struct PutCondition {
  std::optional<uint64_t> version_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_PUT_CONDITION_H_
