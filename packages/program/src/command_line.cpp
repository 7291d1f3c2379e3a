// Command line parsing by docopt usage text.
#include <sassafrasferry/program/command_line.h>

#include <iostream>

namespace sassafrasferry::program {

CommandLine parseCommandLine(const std::string &name, const std::string &usage, int argc,
                             const char *const *argv)
{
    CommandLine line;
    try {
        line.arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        line.exitCode = exit_code::ok;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << name << ' ' << SASSAFRASFERRY_VERSION << '\n';
        line.exitCode = exit_code::ok;
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << '\n' << usage;
        line.exitCode = exit_code::usage;
    }
    return line;
}

} // namespace sassafrasferry::program
