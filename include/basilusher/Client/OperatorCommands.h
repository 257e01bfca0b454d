// The commands of basilusherctl.
#ifndef BASILUSHER_CLIENT_OPERATORCOMMANDS_H_
#define BASILUSHER_CLIENT_OPERATORCOMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace basilusher {

struct CommandOptions {
  /// "IP:PORT[,IP:PORT...]"; empty if none was given.
  std::string entries;
  std::string token;
  /// Prints JSON in place of tables.
  bool json = false;
  /// Base version of a publication; negative for the version in force.
  std::int64_t base = -1;
  /// Seconds to wait until a change is in force at every entry.
  int wait_seconds = 10;
  /// Trace or request to show.
  std::string id;
};

/// Runs one command with its arguments and returns the exit code of
/// docs/ERRORS.md. Output goes to standard output, errors to standard error.
int RunCommand(const std::vector<std::string>& arguments,
               const CommandOptions& options);

/// Text of the commands for --help.
extern const char* const kCommandHelp;

}  // namespace basilusher

#endif  // BASILUSHER_CLIENT_OPERATORCOMMANDS_H_
