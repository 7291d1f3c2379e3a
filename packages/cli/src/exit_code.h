// Exit codes of the operator's command line.
#pragma once

namespace sassafrasferry::cli::exit_code {

constexpr int ok = 0;
constexpr int refused = 1; ///< validation findings, a conflicting change, or not authorized
constexpr int usage = 2; ///< invalid command line or unreadable file
constexpr int unavailable = 3; ///< no entry VM answered or the store is down; no change was made
constexpr int unknown = 4; ///< whether the change was accepted could not be determined

} // namespace sassafrasferry::cli::exit_code
