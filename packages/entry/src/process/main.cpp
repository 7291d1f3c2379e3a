// sassafrasferryd: the daemon of an entry VM.
#include "daemon.h"

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr const char *usage = R"(sassafrasferryd: the daemon of an entry VM.

Usage:
  sassafrasferryd --settings FILE [--verbose]
  sassafrasferryd --check-settings FILE
  sassafrasferryd (-h | --help)
  sassafrasferryd --version

Options:
  --settings FILE        Run with these settings.
  --check-settings FILE  Print every finding of a settings file, and exit.
  --verbose              Log each step of each request.
  -h --help              Print this.
  --version              Print the version.

Exit codes: 0 stopped with nothing cut off, or sound settings; 2 faulty command line or settings;
3 the stop deadline or a second signal cut off requests; 4 an address could not be bound.
)";

using namespace sassafrasferry;

struct ReadSettings
{
    model::Settings settings;
    model::Findings findings;
};

ReadSettings readSettings(const std::string &path)
{
    ReadSettings result;
    std::ifstream file(path);
    if (!file) {
        result.findings.push_back({{path, 0, 0}, "", "cannot be read"});
        return result;
    }
    std::ostringstream text;
    text << file.rdbuf();
    result.settings = model::parseSettings(text.str(), path, result.findings);
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return entry::exit_code::ok;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "sassafrasferryd " << SASSAFRASFERRY_VERSION << "\n";
        return entry::exit_code::ok;
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << "\n" << usage;
        return entry::exit_code::usage;
    }
    const bool isCheck = static_cast<bool>(arguments["--check-settings"]);
    const auto path = arguments[isCheck ? "--check-settings" : "--settings"].asString();
    auto read = readSettings(path);
    if (!read.findings.empty()) {
        std::cerr << model::toString(read.findings);
        return entry::exit_code::usage;
    }
    if (isCheck) {
        std::cout << path << ": ok\n";
        return entry::exit_code::ok;
    }
    FLAGS_v = arguments["--verbose"].asBool() ? 1 : 0;
    entry::Daemon daemon(std::move(read.settings));
    return daemon.run();
}
