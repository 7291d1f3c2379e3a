// sassafrasferryd: the daemon of an entry VM.
#include "daemon.h"

#include <sassafrasferry/program/command_line.h>
#include <sassafrasferry/program/text_file.h>

#include <glog/logging.h>

#include <iostream>

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

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    auto line = program::parseCommandLine("sassafrasferryd", usage, argc, argv);
    if (line.exitCode)
        return *line.exitCode;
    auto &arguments = line.arguments;
    const bool isCheck = static_cast<bool>(arguments["--check-settings"]);
    const auto path = arguments[isCheck ? "--check-settings" : "--settings"].asString();
    auto read = program::readSettings(path, model::parseSettings);
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
