// Command line parsing by docopt usage text, shared by all programs.
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <optional>
#include <string>

namespace sassafrasferry::program {

using Arguments = std::map<std::string, docopt::value>;

/// Exit codes that all programs share.
namespace exit_code {
constexpr int ok = 0;
constexpr int usage = 2; ///< invalid command line or file
} // namespace exit_code

/// The parsed arguments, or the exit code with which the program must end immediately.
struct CommandLine
{
    Arguments arguments;
    std::optional<int> exitCode;
};

/// Parses the command line by `usage`, a docopt text. Prints the help, the version or the error
/// itself.
CommandLine parseCommandLine(const std::string &name, const std::string &usage, int argc,
                             const char *const *argv);

} // namespace sassafrasferry::program
