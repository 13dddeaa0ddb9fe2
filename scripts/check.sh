#!/usr/bin/env bash
# Runs clang-format and clang-tidy over the hand-written code, and compares the picture of the
# packages in README.md with the design page's; prints nothing when all is clean.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v /generated/)
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-10}" -n 1 clang-tidy --quiet -p "$build" 2>"$build/tidy.err" ||
  { grep -v 'warnings generated' "$build/tidy.err" | head -50; exit 1; }

# The first fenced block behind the heading "Packages".
picture() { awk '/^## .*Packages/ { found = 1 } found && /^```/ { if (++fences == 2) exit; next } fences == 1' "$1"; }
[ -n "$(picture README.md)" ] && diff <(picture docs/design.md) <(picture README.md) ||
  { echo "README.md and docs/design.md show different pictures of the packages"; exit 1; }
