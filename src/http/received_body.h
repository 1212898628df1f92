#ifndef CLEMENTINERILL_HTTP_RECEIVED_BODY_H_
#define CLEMENTINERILL_HTTP_RECEIVED_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

namespace clementinerill::http {

/// @brief The body of a message while it is received, as a Boost.Beast body
/// type.
///
/// Its memory grows with the bytes that have arrived, to twice their number at
/// most. `boost::beast::http::string_body` reserves the announced length when
/// the head is complete, so that a sender takes memory without sending a byte.
struct ReceivedBody {
  // The names are required by Boost.Beast.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  class reader {
   public:
    template <bool is_request, class Fields>
    explicit reader(boost::beast::http::header<is_request, Fields>& /*head*/,
                    value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }

    std::size_t put(const boost::asio::const_buffer& bytes,
                    boost::system::error_code& error) {
      body_.append(static_cast<const char*>(bytes.data()), bytes.size());
      error = {};
      return bytes.size();
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_RECEIVED_BODY_H_
