#ifndef CLEMENTINERILL_CLI_COMMAND_IO_H_
#define CLEMENTINERILL_CLI_COMMAND_IO_H_

#include <iostream>

namespace clementinerill {

/// @brief Output streams of a command. They must outlive the command.
struct CommandIo {
  std::ostream* out_ = &std::cout;
  std::ostream* err_ = &std::cerr;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_COMMAND_IO_H_
