#include "base/error.h"

namespace clementinerill {

std::string Format(const Error& error) {
  std::string text = error.position_.path_;
  if (error.position_.line_ > 0) {
    text += ':' + std::to_string(error.position_.line_);
    text += ':' + std::to_string(error.position_.column_);
  }
  if (!text.empty()) {
    text += ": ";
  }
  return text + error.description_;
}

}  // namespace clementinerill
