#ifndef CLEMENTINERILL_HTTP_PARSE_SOME_H_
#define CLEMENTINERILL_HTTP_PARSE_SOME_H_

#include <cstddef>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

namespace clementinerill::http {

/// @brief Passes received bytes to a parser of Boost.Beast and removes those
/// that it has used, whose number is returned.
///
/// Head and body are parsed by separate calls. In one call for both, a parser
/// of Boost.Beast 1.74 forgets the error that ended the head of a response, a
/// length above the limit, and goes on with the body.
template <typename Parser>
std::size_t ParseSome(Parser& parser,
                      std::string& input,
                      boost::system::error_code& error) {
  const bool is_head = !parser.is_header_done();
  parser.eager(!is_head);
  std::size_t used = parser.put(boost::asio::buffer(input), error);
  input.erase(0, used);
  if (is_head && !error && !parser.is_done() && !input.empty()) {
    used += ParseSome(parser, input, error);
  }
  return used;
}

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_PARSE_SOME_H_
