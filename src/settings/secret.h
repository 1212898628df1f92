#ifndef CLEMENTINERILL_SETTINGS_SECRET_H_
#define CLEMENTINERILL_SETTINGS_SECRET_H_

#include <string>
#include <utility>

namespace clementinerill {

/// @brief A text that must not appear in logs, errors or output.
///
/// There is no conversion to text and no stream operator, so that printing one
/// does not compile; `Reveal` marks the places that need the value.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& Reveal() const noexcept { return value_; }
  [[nodiscard]] bool IsSet() const noexcept { return !value_.empty(); }

 private:
  std::string value_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_SECRET_H_
