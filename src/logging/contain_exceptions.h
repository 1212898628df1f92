#ifndef CLEMENTINERILL_LOGGING_CONTAIN_EXCEPTIONS_H_
#define CLEMENTINERILL_LOGGING_CONTAIN_EXCEPTIONS_H_

#include <exception>
#include <string_view>

namespace clementinerill {

/// @brief Logs an exception that has left a handler. The line may be missing if
/// there is no memory for it.
void ReportException(std::string_view handler, const char* what) noexcept;

/// @brief Runs `task`; logs an exception that leaves it and returns false then.
///
/// Without it an exception, such as `std::bad_alloc`, would end the process
/// with all requests of others. The caller ends what the task has left halfway.
template <typename Task>
bool ContainExceptions(std::string_view handler, Task&& task) noexcept {
  try {
    task();
    return true;
  } catch (const std::exception& exception) {
    ReportException(handler, exception.what());
  } catch (...) {
    ReportException(handler, "no standard exception");
  }
  return false;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_CONTAIN_EXCEPTIONS_H_
