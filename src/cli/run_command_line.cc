#include "cli/run_command_line.h"

#include "cli/exit_code.h"

namespace clementinerill {

int RunCommandLine(CLI::App& app,
                   int argc,
                   const char* const* argv,
                   CommandIo io) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::RuntimeError& error) {
    return error.get_exit_code();
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, *io.out_, *io.err_);
    return code == 0 ? 0 : static_cast<int>(ExitCode::kInvalid);
  }
  return static_cast<int>(ExitCode::kDone);
}

}  // namespace clementinerill
