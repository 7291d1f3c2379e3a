// Exit codes of the operator's command line.
#pragma once

namespace sassafrasferry::cli::exit_code {

constexpr int ok = 0;
constexpr int refused = 1; ///< findings, another change came first, or not allowed
constexpr int usage = 2; ///< the command line is faulty, or a file cannot be read
constexpr int unavailable = 3; ///< no entry VM answered, or the store is down; nothing was changed
constexpr int unknown = 4; ///< it could not be settled whether a change was accepted

} // namespace sassafrasferry::cli::exit_code
