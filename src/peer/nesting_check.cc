#include "peer/nesting_check.h"

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;

// SAX handler that discards all values and aborts parsing when the nesting
// limit is exceeded. The method names are those of `json_sax`.
// NOLINTBEGIN(readability-identifier-naming)
class NestingDepthHandler : public nlohmann::json_sax<json> {
 public:
  explicit NestingDepthHandler(int max_depth) : remaining_depth_(max_depth) {}

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
  bool start_object(size_t /*size*/) override { return remaining_depth_-- > 0; }
  bool end_object() override { return ++remaining_depth_ > 0; }
  bool start_array(size_t /*size*/) override { return remaining_depth_-- > 0; }
  bool end_array() override { return ++remaining_depth_ > 0; }
  bool parse_error(size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  int remaining_depth_;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

bool IsCborWithinDepth(std::string_view bytes, int max_depth) {
  NestingDepthHandler handler(max_depth);
  return json::sax_parse(bytes.begin(), bytes.end(), &handler,
                         json::input_format_t::cbor);
}

}  // namespace clementinerill
