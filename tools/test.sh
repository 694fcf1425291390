#!/usr/bin/env bash
# The test command of the README: configure, build, run every test.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${FINCHLINK_BUILD:-build}"
cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE="${FINCHLINK_BUILD_TYPE:-RelWithDebInfo}" >/dev/null
cmake --build "$folder"
ctest --test-dir "$folder" --output-on-failure --no-tests=error --parallel "$(nproc)"
