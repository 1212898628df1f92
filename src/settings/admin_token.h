#ifndef CLEMENTINERILL_SETTINGS_ADMIN_TOKEN_H_
#define CLEMENTINERILL_SETTINGS_ADMIN_TOKEN_H_

#include <string>

#include "base/result.h"
#include "settings/secret.h"

namespace clementinerill {

/// @brief Checks a token for the admin server: 16 to 256 printable ASCII
/// characters without spaces, so that it fits in an HTTP header.
///
/// The error does not repeat the text.
[[nodiscard]] Result<Secret> ParseAdminToken(const std::string& text);

/// @brief Checks the contents of the file named by `admin_token_file`; white
/// space at its end is ignored.
[[nodiscard]] Result<Secret> ParseAdminTokenFile(const std::string& contents);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_ADMIN_TOKEN_H_
