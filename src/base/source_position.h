#ifndef CLEMENTINERILL_BASE_SOURCE_POSITION_H_
#define CLEMENTINERILL_BASE_SOURCE_POSITION_H_

#include <string>

namespace clementinerill {

/// @brief A position in an input document.
///
/// `path_` is a file name or a JSON pointer. `line_` and `column_` count from
/// one; zero means unknown.
struct SourcePosition {
  std::string path_;
  int line_ = 0;
  int column_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_SOURCE_POSITION_H_
