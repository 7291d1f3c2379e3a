// The command line of a program, by its usage text.
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
constexpr int usage = 2; ///< the command line or a file is faulty
} // namespace exit_code

/// Either arguments, or the code with which the program is to end at once.
struct CommandLine
{
    Arguments arguments;
    std::optional<int> exitCode;
};

/// Answers help and version itself. `usage` is in docopt's form.
CommandLine parseCommandLine(const std::string &name, const std::string &usage, int argc,
                             const char *const *argv);

} // namespace sassafrasferry::program
