// Commands on the configuration document: check, show, get, diff, apply, history, watch.
#pragma once

#include "admin_client.h"

#include <string>

namespace sassafrasferry::cli {

/// Validates a whole document file locally, without contacting an entry VM. Prints every finding.
int checkFile(const std::string &path);
/// Prints the document in force, or one section of it.
int show(AdminClient &client, const std::string &section);
/// Prints a section in the file format that `apply` reads.
int get(AdminClient &client, const std::string &section);
/// Prints the line differences between the section in force and a file.
int diff(AdminClient &client, const std::string &section, const std::string &path);

/// Arguments of `apply`.
struct ApplyOptions
{
    std::string section;
    std::string path;
    std::string token;
    bool mustWait = false; ///< return only when the change is in force on every entry VM
};
int apply(AdminClient &client, const ApplyOptions &options);
/// Prints the changes accepted after a revision.
int history(AdminClient &client, std::int64_t after);
/// Prints the revision of each live entry VM whenever it changes. Returns when all have reached
/// `revision`, or with `exit_code::unknown` after a limited number of polls.
int watch(AdminClient &client, std::int64_t revision);

} // namespace sassafrasferry::cli
