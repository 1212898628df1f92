#ifndef CLEMENTINERILL_HTTP_PARSED_HEADERS_H_
#define CLEMENTINERILL_HTTP_PARSED_HEADERS_H_

#include <string>

#include "http/http_message.h"

namespace clementinerill::http {

/// @brief Copies the header fields of a message parsed by Boost.Beast.
template <typename Message>
[[nodiscard]] Headers CopyHeaders(const Message& message) {
  Headers headers;
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    headers.emplace_back(std::string(name.data(), name.size()),
                         std::string(value.data(), value.size()));
  }
  return headers;
}

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_PARSED_HEADERS_H_
