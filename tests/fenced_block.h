#ifndef CLEMENTINERILL_TESTS_FENCED_BLOCK_H_
#define CLEMENTINERILL_TESTS_FENCED_BLOCK_H_

#include <fstream>
#include <sstream>
#include <string>

namespace clementinerill {

/// @brief The first code block in `language` of a page in docs, or empty text.
///
/// CLEMENTINERILL_DOCS is the path of that folder.
[[nodiscard]] inline std::string FencedBlock(const std::string& page,
                                             const std::string& language) {
  const std::ifstream file(std::string(CLEMENTINERILL_DOCS) + "/" + page);
  std::ostringstream contents;
  contents << file.rdbuf();
  const std::string text = contents.str();
  const std::string fence = "```" + language + "\n";
  const size_t start = text.find(fence);
  if (start == std::string::npos) {
    return {};
  }
  const size_t begin = start + fence.size();
  return text.substr(begin, text.find("```", begin) - begin);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_FENCED_BLOCK_H_
