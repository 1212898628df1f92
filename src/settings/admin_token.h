#ifndef CLEMENTINERILL_SETTINGS_ADMIN_TOKEN_H_
#define CLEMENTINERILL_SETTINGS_ADMIN_TOKEN_H_

#include <string>

#include "base/result.h"
#include "settings/secret.h"

namespace clementinerill {

/// @brief Validates the token of the admin server: 16 to 256 printable ASCII
/// characters without spaces, so that it can be sent in an HTTP header.
///
/// The error does not contain the token.
[[nodiscard]] Result<Secret> ParseAdminToken(const std::string& text);

/// @brief Validates the contents of the file named by `admin_token_file`.
/// Trailing white space is ignored.
[[nodiscard]] Result<Secret> ParseAdminTokenFile(const std::string& contents);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_ADMIN_TOKEN_H_
