#ifndef CLEMENTINERILL_CLI_DOCUMENT_FILE_H_
#define CLEMENTINERILL_CLI_DOCUMENT_FILE_H_

#include <optional>
#include <string>

#include "cli/command_io.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief Reads a configuration document from a file.
///
/// Returns nothing if the file can't be read or the document is invalid, and
/// prints each error with the path of the file.
[[nodiscard]] std::optional<Configuration> ReadDocumentFile(
    const std::string& path,
    CommandIo io);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_DOCUMENT_FILE_H_
