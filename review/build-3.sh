#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start, under target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/cases review/standin-3/*.cpp
