#ifndef CLEMENTINERILL_CLI_DOCUMENT_FILE_H_
#define CLEMENTINERILL_CLI_DOCUMENT_FILE_H_

#include <optional>
#include <string>

#include "cli/command_io.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief Reads a configuration document from a file.
///
/// Prints every error with the name of the file and returns nothing when the
/// file can't be read or is invalid.
[[nodiscard]] std::optional<Configuration> ReadDocumentFile(
    const std::string& path,
    CommandIo io);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_DOCUMENT_FILE_H_
