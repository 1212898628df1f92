#include "peer/nesting_check.h"

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;

// Accepts every value and stops the parser where the nesting is too deep. The
// method names are those of the parser's event interface.
// NOLINTBEGIN(readability-identifier-naming)
class NestingHandler : public nlohmann::json_sax<json> {
 public:
  explicit NestingHandler(int max_nesting) : left_(max_nesting) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(json::number_integer_t /*value*/) override {
    return true;
  }
  bool number_unsigned(json::number_unsigned_t /*value*/) override {
    return true;
  }
  bool number_float(json::number_float_t /*value*/,
                    const std::string& /*text*/) override {
    return true;
  }
  bool string(std::string& /*value*/) override { return true; }
  bool binary(json::binary_t& /*value*/) override { return true; }
  bool key(std::string& /*value*/) override { return true; }
  bool start_object(size_t /*size*/) override { return left_-- > 0; }
  bool end_object() override { return ++left_ > 0; }
  bool start_array(size_t /*size*/) override { return left_-- > 0; }
  bool end_array() override { return ++left_ > 0; }
  bool parse_error(size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  int left_;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

bool IsShallowCbor(std::string_view bytes, int max_nesting) {
  NestingHandler handler(max_nesting);
  return json::sax_parse(bytes.begin(), bytes.end(), &handler,
                         json::input_format_t::cbor);
}

}  // namespace clementinerill
