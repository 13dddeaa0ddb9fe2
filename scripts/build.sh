#!/usr/bin/env bash
# Builds everything into build/ (or the folder named by BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ >"/tmp/mustardshift-cmake.$$" 2>&1 || {
  cat "/tmp/mustardshift-cmake.$$"
  exit 1
}
rm -f "/tmp/mustardshift-cmake.$$"
cmake --build "$build" -j "${JOBS:-10}"
