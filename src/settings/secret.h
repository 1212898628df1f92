#ifndef CLEMENTINERILL_SETTINGS_SECRET_H_
#define CLEMENTINERILL_SETTINGS_SECRET_H_

#include <string>
#include <utility>

namespace clementinerill {

/// @brief A string that must not appear in logs, errors or output.
///
/// It has no conversion to a string and no stream operator, so that code that
/// prints it does not compile. Code that needs the value calls `Reveal`, which
/// makes these places easy to find.
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
