#include "cli/document_file.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "config/configuration_json.h"

namespace clementinerill {

std::optional<Configuration> ReadDocumentFile(const std::string& path,
                                              CommandIo io) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    *io.err_ << path << ": cannot read the file\n";
    return std::nullopt;
  }
  auto document = ParseConfiguration(text.str());
  if (document) {
    return std::move(*document);
  }
  for (const Error& error : document.error()) {
    *io.err_ << path << ": " << Format(error) << '\n';
  }
  return std::nullopt;
}

}  // namespace clementinerill
