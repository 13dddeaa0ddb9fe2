#!/usr/bin/env bash
# Runs clang-format and clang-tidy over the hand-written code; prints nothing when it is clean.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v /generated/)
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-10}" -n 1 clang-tidy --quiet -p "$build" 2>"$build/tidy.err" ||
  { grep -v 'warnings generated' "$build/tidy.err" | head -50; exit 1; }
