// SHA-256, for tokens of teams and fingerprints of requests.
#pragma once

#include <string>
#include <string_view>

namespace sassafrasferry::store {

/// The SHA-256 of a text, in hexadecimal.
std::string sha256(std::string_view text);

/// Compares in time that does not depend on where two texts differ.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace sassafrasferry::store
