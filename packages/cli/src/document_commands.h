// Commands on the document: check, show, get, diff, apply, history, watch.
#pragma once

#include "admin_client.h"

#include <string>

namespace sassafrasferry::cli {

/// Checks a whole document file without an entry VM. Prints every finding.
int checkFile(const std::string &path);
/// Prints the document in force, or one section of it.
int show(AdminClient &client, const std::string &section);
/// Prints a section as a file to edit.
int get(AdminClient &client, const std::string &section);
/// Prints how a file differs from the section in force.
int diff(AdminClient &client, const std::string &section, const std::string &path);

/// How a section is applied.
struct ApplyOptions
{
    std::string section;
    std::string path;
    std::string token;
    bool mustWait = false; ///< until it is in force on every entry VM
};
int apply(AdminClient &client, const ApplyOptions &options);
/// Prints what changed after a revision.
int history(AdminClient &client, std::int64_t after);
/// Prints entry VM by entry VM as they reach a revision; returns when all have.
int watch(AdminClient &client, std::int64_t revision);

} // namespace sassafrasferry::cli
