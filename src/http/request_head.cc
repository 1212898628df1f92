#include "http/request_head.h"

namespace clementinerill::http {
namespace {

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

boost::beast::string_view FromView(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::string_view RequestHead::Target() const {
  return ToView(fields_.target());
}

std::string_view RequestHead::Find(std::string_view name) const {
  return ToView(fields_[FromView(name)]);
}

size_t RequestHead::Count(std::string_view name) const {
  return fields_.count(FromView(name));
}

}  // namespace clementinerill::http
