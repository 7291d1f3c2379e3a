// sassafrasferry: the operator's command line.
#include "document_commands.h"
#include "exit_code.h"
#include "fleet_commands.h"
#include "job_log.h"

#include <sassafrasferry/program/command_line.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char *usage = R"(sassafrasferry: the operator's command line.

Usage:
  sassafrasferry check FILE
  sassafrasferry show [SECTION] [--admin LIST]
  sassafrasferry get SECTION [--admin LIST]
  sassafrasferry diff SECTION FILE [--admin LIST]
  sassafrasferry apply SECTION FILE [--wait] [--admin LIST]
  sassafrasferry history [--after REVISION] [--admin LIST]
  sassafrasferry watch [--revision REVISION] [--admin LIST]
  sassafrasferry status [--admin LIST]
  sassafrasferry upstreams [--admin LIST]
  sassafrasferry explain REQUEST [--admin LIST]
  sassafrasferry explain JOB --log FILE
  sassafrasferry waves [--admin LIST]
  sassafrasferry wave (start | halt | resume) WAVE [--admin LIST]
  sassafrasferry (-h | --help)
  sassafrasferry --version

Options:
  --admin LIST         Administration addresses of entry VMs, separated by commas; the first that
                       answers is used. Default: SASSAFRASFERRY_ADMIN.
  --wait               Return when the change is in force on every entry VM.
  --log FILE           A saved log of one or more entry VMs; prints the job's history from it.
  --after REVISION     Print changes after this revision [default: 0].
  --revision REVISION  Return when this revision is in force everywhere [default: 0].
  -h --help            Print this.
  --version            Print the version.

The team's token is read from SASSAFRASFERRY_TOKEN.

Exit codes: 0 done; 1 refused, with the reason; 2 invalid command line or file; 3 no entry VM
answered, no change was made; 4 unknown whether the change was accepted.
)";

using namespace sassafrasferry;

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value ? value : "";
}

int run(program::Arguments &arguments)
{
    const auto is = [&](const char *name) {
        return arguments[name].asBool();
    };
    const auto text = [&](const char *name) {
        return arguments[name] ? arguments[name].asString() : std::string();
    };
    if (is("check"))
        return cli::checkFile(text("FILE"));
    if (is("explain") && arguments["--log"])
        return cli::explainFromLog(text("--log"), text("JOB"));
    const auto list =
        arguments["--admin"] ? text("--admin") : fromEnvironment("SASSAFRASFERRY_ADMIN");
    const auto endpoints = cli::parseEndpoints(list);
    if (endpoints.empty()) {
        std::cerr << "--admin or SASSAFRASFERRY_ADMIN must list addresses, for example "
                     "127.0.0.1:8002,127.0.0.2:8002\n";
        return cli::exit_code::usage;
    }
    cli::AdminClient client(endpoints);
    if (is("show"))
        return cli::show(client, text("SECTION"));
    if (is("get"))
        return cli::get(client, text("SECTION"));
    if (is("diff"))
        return cli::diff(client, text("SECTION"), text("FILE"));
    if (is("apply"))
        return cli::apply(client, {text("SECTION"), text("FILE"),
                                   fromEnvironment("SASSAFRASFERRY_TOKEN"), is("--wait")});
    if (is("history"))
        return cli::history(client, arguments["--after"].asLong());
    if (is("watch"))
        return cli::watch(client, arguments["--revision"].asLong());
    if (is("status"))
        return cli::status(client);
    if (is("upstreams"))
        return cli::upstreams(client);
    if (is("waves"))
        return cli::waves(client);
    if (is("wave")) {
        const char *action = is("start") ? "start" : is("halt") ? "halt" : "resume";
        return cli::setWave(client, text("WAVE"), action, fromEnvironment("SASSAFRASFERRY_TOKEN"));
    }
    return cli::explain(client, text("REQUEST"));
}

} // namespace

int main(int argc, char **argv)
{
    auto line = program::parseCommandLine("sassafrasferry", usage, argc, argv);
    if (line.exitCode)
        return *line.exitCode;
    try {
        return run(line.arguments);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n" << usage;
        return cli::exit_code::usage;
    }
}
