#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, with the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() {
    g++ -std=c++20 -O1 -fcoroutines -I review/standin -c -o "target/review/$1.o" "review/standin/$1.cpp"
}
cases=(old_jobs large_job settings_roll settings_change new_machines)
for unit in world harness "${cases[@]}"; do
    compile "$unit" &
done
for job in $(jobs -p); do
    wait "$job"
done
for case in "${cases[@]}"; do
    g++ -o "target/review/$case" "target/review/$case.o" target/review/harness.o target/review/world.o -lpthread
done
