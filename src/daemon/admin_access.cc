#include "daemon/admin_access.h"

#include <string>

namespace clementinerill {
namespace {

// Compares in a time that depends on the lengths only, so that response times
// do not reveal how long a correct prefix a guessed token has.
bool IsEqualInConstantTime(const std::string& a,
                           const std::string& b) noexcept {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

bool IsAllowed(const AdminRequest& request, const Secret& token) noexcept {
  if (request.method_ == "GET" || request.method_ == "HEAD") {
    return true;
  }
  return token.IsSet() && IsEqualInConstantTime(request.token_, token.Reveal());
}

}  // namespace clementinerill
