#ifndef CLEMENTINERILL_HTTP_REQUEST_HEAD_H_
#define CLEMENTINERILL_HTTP_REQUEST_HEAD_H_

#include <cstddef>
#include <string_view>

#include <boost/beast/http/message.hpp>

namespace clementinerill::http {

/// @brief The head of a request whose body may not have been received yet. Does
/// not own the fields.
class RequestHead {
 public:
  using Fields = boost::beast::http::request_header<>;

  explicit RequestHead(const Fields& fields) : fields_(fields) {}

  [[nodiscard]] std::string_view Target() const;

  /// @brief The value of the first field named `name`, ignoring case; empty if
  /// there is none.
  [[nodiscard]] std::string_view Find(std::string_view name) const;

  /// @brief The number of fields named `name`, ignoring case.
  [[nodiscard]] size_t Count(std::string_view name) const;

 private:
  const Fields& fields_;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_REQUEST_HEAD_H_
